package brooklock.proxy;

import brooklock.config.Settings;
import brooklock.config.Settings.EndpointKind;
import brooklock.routing.Idempotency;
import brooklock.routing.IdempotencyScope;
import brooklock.routing.RouterSettings;
import java.util.List;

/** Converts the dispatcher's settings to the router's settings. Stateless. */
public final class RouterSettingsMapper {
    /** HTTP attempts can always be cancelled, by closing their connection. */
    private static final boolean CANCEL_ALLOWED = true;

    /** Rejections are sent with a Retry-After field. */
    private static final boolean RETRY_AFTER_SENT = true;

    /**
     * The router need not request the list, because {@link EndpointListUpdater} submits it and
     * every change.
     */
    private static final boolean WATCHES_ENDPOINT_LIST = false;

    private static final long BYTES_PER_KB = 1000;

    private RouterSettingsMapper() {}

    /**
     * Returns the router's settings. They are taken from the dispatcher's settings, except for
     * properties that are the same for every HTTP dispatcher. Weights are always enabled while
     * cache warming is enabled, because warming controls the load of a cache by its weight.
     */
    public static RouterSettings toRouterSettings(Settings settings) {
        List<RouterSettings.RequestClass> classes =
                settings.classes().stream()
                        .map(
                                requestClass ->
                                        new RouterSettings.RequestClass(
                                                requestClass.latencyObjectiveNs(),
                                                requestClass.latencyObjectiveWorkFactor(),
                                                idempotency(requestClass.effect()),
                                                IdempotencyScope.valueOf(
                                                        requestClass.idempotencyScope().name()),
                                                requestClass.idempotencyWindowNs(),
                                                requestClass.passThrough(),
                                                requestClass.freshnessLifetimeNs()))
                        .toList();
        Settings.SafetyLimitSettings safetyLimits = settings.safetyLimits();
        return new RouterSettings(
                classes,
                new RouterSettings.Limits(
                        CANCEL_ALLOWED,
                        settings.fleet().hedging(),
                        RETRY_AFTER_SENT,
                        settings.limits().maxAttempts(),
                        settings.limits().maxRetryAfterNs(),
                        settings.limits().connectTimeoutNs()),
                new RouterSettings.SafetyLimits(
                        safetyLimits.initialCapacity(),
                        safetyLimits.warmUpNs(),
                        safetyLimits.overloadMultiple(),
                        safetyLimits.overloadWindowNs(),
                        safetyLimits.parentInitialCapacity(),
                        safetyLimits.parentWarmUpNs(),
                        safetyLimits.parentOverloadMultiple(),
                        safetyLimits.purgeWindowNs()),
                settings.dispatcherCount(),
                settings.localZone(),
                settings.zones().stream().map(Settings.Zone::parentZoneIndex).toList(),
                EndpointKind.PARENT.number(),
                EndpointKind.ORIGIN.number(),
                settings.fleet().weighted() || settings.warming().enabled(),
                WATCHES_ENDPOINT_LIST,
                settings.fleet().requestCollapsing(),
                settings.fleet().directOriginAllowed(),
                settings.fleet().transferBytesPerS() / BYTES_PER_KB,
                settings.limits().tickNs());
    }

    private static Idempotency idempotency(Settings.Effect effect) {
        return switch (effect) {
            case SAFE -> Idempotency.IDEMPOTENT;
            case KEYED -> Idempotency.IDEMPOTENCY_KEY;
            case UNSAFE -> Idempotency.NOT_IDEMPOTENT;
        };
    }
}
