package brooklock.proxy;

import brooklock.routing.AttemptOutcome;
import brooklock.routing.CacheStatus;
import brooklock.routing.Endpoint;
import brooklock.routing.Idempotency;
import brooklock.routing.RouterAction;
import brooklock.routing.RouterEvent;
import brooklock.routing.RouterSettings;
import java.util.HashMap;
import java.util.Map;

/**
 * The words by which traces name record types and constants.
 *
 * <p>They belong to the stored format and do not change with the names in the code. A constant
 * without a word of its own is written by its name.
 */
final class TraceVocabulary {
    private static final Map<Class<?>, String> WORD_BY_TYPE =
            Map.ofEntries(
                    Map.entry(RouterSettings.class, "Settings"),
                    Map.entry(RouterSettings.RequestClass.class, "ClassSettings"),
                    Map.entry(RouterSettings.Limits.class, "Limits"),
                    Map.entry(RouterSettings.SafetyLimits.class, "Guards"),
                    Map.entry(Endpoint.class, "HostEntry"),
                    Map.entry(RouterEvent.EndpointListReceived.class, "HostList"),
                    Map.entry(RouterEvent.RequestReceived.class, "Request"),
                    Map.entry(RouterEvent.ClientDisconnected.class, "Lapsed"),
                    Map.entry(RouterEvent.TimerFired.class, "TimerFired"),
                    Map.entry(RouterEvent.ResponseStarted.class, "Streaming"),
                    Map.entry(RouterEvent.AttemptCompleted.class, "Done"),
                    Map.entry(RouterEvent.PurgeReceived.class, "Purged"),
                    Map.entry(RouterAction.StartAttempt.class, "Get"),
                    Map.entry(RouterAction.RejectRequest.class, "Refuse"),
                    Map.entry(RouterAction.FailRequest.class, "Fail"),
                    Map.entry(RouterAction.CancelAttempt.class, "Cancel"),
                    Map.entry(RouterAction.SetTimer.class, "SetTimer"),
                    Map.entry(RouterAction.WatchEndpoints.class, "Watch"));

    private static final Map<Enum<?>, String> WORD_BY_CONSTANT =
            Map.ofEntries(
                    Map.entry(Idempotency.IDEMPOTENT, "SAFE"),
                    Map.entry(Idempotency.IDEMPOTENCY_KEY, "KEYED"),
                    Map.entry(Idempotency.NOT_IDEMPOTENT, "UNSAFE"),
                    Map.entry(AttemptOutcome.OVERLOADED, "FULL"),
                    Map.entry(AttemptOutcome.NOT_STARTED, "MOOT"),
                    Map.entry(AttemptOutcome.CACHE_MISS, "MISS"),
                    Map.entry(CacheStatus.FILLED_BY_PARENT, "FILLED"),
                    Map.entry(CacheStatus.COLLAPSED, "JOINED"),
                    Map.entry(CacheStatus.STALE, "OLD_COPY"),
                    Map.entry(CacheStatus.FILL_SOURCE_REJECTED, "SOURCE_REFUSED"),
                    Map.entry(CacheStatus.FILL_SOURCE_CONNECTION_LOST, "SOURCE_BROKE"),
                    Map.entry(CacheStatus.FILL_SOURCE_MISS, "SOURCE_LACKS"),
                    Map.entry(CacheStatus.NO_CAPACITY, "NO_PLACE"));

    private static final Map<String, Class<?>> TYPE_BY_WORD = new HashMap<>();

    static {
        WORD_BY_TYPE.forEach((type, word) -> TYPE_BY_WORD.put(word, type));
    }

    private TraceVocabulary() {}

    /**
     * Returns the word of a record type.
     *
     * @throws IllegalArgumentException if traces do not carry the type
     */
    static String wordOf(Class<?> type) {
        String word = WORD_BY_TYPE.get(type);
        if (word == null) {
            throw new IllegalArgumentException("not traced: " + type);
        }
        return word;
    }

    /** Returns the word of a constant. */
    static String wordOf(Enum<?> constant) {
        return WORD_BY_CONSTANT.getOrDefault(constant, constant.name());
    }

    /**
     * Returns the record type that a word names.
     *
     * @throws IllegalArgumentException if there is none
     */
    static Class<?> typeOf(String word) {
        Class<?> type = TYPE_BY_WORD.get(word);
        if (type == null) {
            throw new TraceFormatException("no such record: " + word);
        }
        return type;
    }

    /**
     * Returns the constant that a word names.
     *
     * @param type an enum type
     * @throws IllegalArgumentException if there is none
     */
    static Object constantOf(Class<?> type, String word) {
        for (Object constant : type.getEnumConstants()) {
            if (wordOf((Enum<?>) constant).equals(word)) {
                return constant;
            }
        }
        throw new TraceFormatException("no such word: " + word);
    }
}
