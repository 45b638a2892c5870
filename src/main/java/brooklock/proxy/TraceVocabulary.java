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
 * Maps record types and enum constants to the words that represent them in traces. Immutable and
 * thread-safe.
 *
 * <p>The words are part of the stored format, so they must not change when a type or constant is
 * renamed. A constant without an entry here is represented by its name.
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
     * @throws IllegalArgumentException if traces do not contain the type
     */
    static String wordOf(Class<?> type) {
        String word = WORD_BY_TYPE.get(type);
        if (word == null) {
            throw new IllegalArgumentException(
                    "expected a record type that traces contain but received " + type);
        }
        return word;
    }

    /** Returns the word of a constant. */
    static String wordOf(Enum<?> constant) {
        return WORD_BY_CONSTANT.getOrDefault(constant, constant.name());
    }

    /**
     * Returns the record type that a word represents.
     *
     * @throws IllegalArgumentException if the word is unknown
     */
    static Class<?> typeOf(String word) {
        Class<?> type = TYPE_BY_WORD.get(word);
        if (type == null) {
            throw new TraceFormatException(
                    "expected the word of a record type that traces contain but received '"
                            + word.substring(0, Math.min(40, word.length()))
                            + "'");
        }
        return type;
    }

    /**
     * Returns the enum constant that a word represents.
     *
     * @param type the enum type
     * @throws IllegalArgumentException if the type has no constant with this word
     */
    static Object constantOf(Class<?> type, String word) {
        for (Object constant : type.getEnumConstants()) {
            if (wordOf((Enum<?>) constant).equals(word)) {
                return constant;
            }
        }
        throw new TraceFormatException(
                "expected the word of a constant of "
                        + type.getSimpleName()
                        + " but received '"
                        + word.substring(0, Math.min(40, word.length()))
                        + "'");
    }
}
