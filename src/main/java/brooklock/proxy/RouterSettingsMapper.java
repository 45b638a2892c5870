package brooklock.proxy;

import brooklock.config.Settings;
import brooklock.config.Settings.EndpointKind;
import brooklock.routing.Idempotency;
import brooklock.routing.IdempotencyScope;
import brooklock.routing.RouterSettings;
import java.util.List;

/** Maps the settings file's model to the router's settings. */
public final class RouterSettingsMapper {
    private RouterSettingsMapper() {}

    /** Returns the router's settings; nothing is added to what the file says. */
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
        Settings.SafetyLimitSettings invariants = settings.safetyLimits();
        return new RouterSettings(
                classes,
                new RouterSettings.Limits(
                        true,
                        settings.fleet().hedging(),
                        true,
                        settings.limits().maxAttempts(),
                        settings.limits().maxRetryAfterNs(),
                        settings.limits().connectTimeoutNs()),
                new RouterSettings.SafetyLimits(
                        invariants.initialCapacity(),
                        invariants.warmUpNs(),
                        invariants.overloadMultiple(),
                        invariants.overloadWindowNs(),
                        invariants.parentInitialCapacity(),
                        invariants.parentWarmUpNs(),
                        invariants.parentOverloadMultiple(),
                        invariants.purgeWindowNs()),
                settings.dispatcherCount(),
                settings.localZone(),
                settings.zones().stream().map(Settings.Zone::parentZoneIndex).toList(),
                EndpointKind.PARENT.number(),
                EndpointKind.ORIGIN.number(),
                settings.fleet().weighted() || settings.warming().enabled(),
                false,
                settings.fleet().requestCollapsing(),
                settings.fleet().directOriginAllowed(),
                settings.fleet().transferBytesPerS() / 1000,
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
