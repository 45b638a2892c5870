package brooklock.faulttest;

import brooklock.config.Settings.RequestClassSettings;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateDiscreteSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Generates the client arrivals of one {@link ClientWorker}: when each client arrives and what it
 * requests. The sequence depends only on the scenario's seed and faults, never on responses. Used
 * on the worker's I/O thread only.
 */
final class ArrivalSource {
    /**
     * A client that has arrived.
     *
     * @param zone index of the client's zone in the scenario
     * @param requestClass settings of the class of its requests
     * @param pathPrefix requested path up to the part number at its end
     * @param parts number of parts that it requests, one after another
     * @param gapNs time between the requests for two consecutive parts, in nanoseconds
     * @param tenant index of its tenant, or -1 if the scenario has no tenants
     * @param authorized whether the policy allows the requests
     */
    record Arrival(
            int zone,
            RequestClassSettings requestClass,
            String pathPrefix,
            int parts,
            long gapNs,
            int tenant,
            boolean authorized) {}

    private final ClientPopulation population;
    private final Scenario scenario;
    private final UniformRandomProvider random;
    private final List<Scenario.ClassLoad> classLoads;
    private final List<SharedStateDiscreteSampler> popularity = new ArrayList<>();
    private final double workerShare;
    private final String namePrefix;
    private long nameCount;

    /**
     * Creates a source that generates an equal share of the arrivals for each of {@code
     * workerCount} workers.
     */
    ArrivalSource(
            ClientPopulation population,
            Scenario scenario,
            int workerIndex,
            int workerCount,
            String namePrefix) {
        this.population = population;
        this.scenario = scenario;
        this.namePrefix = namePrefix;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(scenario.seed * 100 + workerIndex);
        classLoads = List.copyOf(scenario.classLoads.values());
        classLoads.forEach(
                load ->
                        popularity.add(
                                RejectionInversionZipfSampler.of(
                                        random, load.objects(), load.zipf())));
        workerShare = 1.0 / workerCount;
    }

    /** Draws the time until the next arrival, in nanoseconds, from an exponential distribution. */
    long nextInterarrivalNs() {
        double rate =
                scenario.requestsPerS
                        * (population.rateMultiple + floodRateMultiple())
                        * workerShare;
        return (long) (-Math.log(1 - random.nextDouble()) / rate * 1e9);
    }

    /** Draws the next arrival. */
    Arrival next() {
        int index = nextClassIndex();
        Scenario.ClassLoad load = classLoads.get(index);
        int zone = nextZone();
        int object = applyFlood(popularity.get(index).sample());
        int group = object % scenario.groupCount;
        // Groups are assigned to the tenants round-robin. A configured share of clients requests an
        // object of another tenant.
        int owner = scenario.tenantCount == 0 ? -1 : group % scenario.tenantCount;
        int tenant =
                owner >= 0 && random.nextDouble() < scenario.crossTenantShare
                        ? (owner + 1) % scenario.tenantCount
                        : owner;
        String objectName = nextObjectName(object);
        RequestClassSettings requestClass = scenario.requestClass(load.className());
        boolean passThrough = requestClass.passThrough();
        String path =
                "/"
                        + load.className()
                        + "/g"
                        + group
                        + "/"
                        + objectName
                        + (passThrough ? "-" + uniqueName() : "")
                        + "/";
        return new Arrival(
                zone,
                requestClass,
                path,
                passThrough ? 1 : load.parts(),
                load.gapNs(),
                tenant,
                tenant == owner);
    }

    private int nextClassIndex() {
        double remainingShare = random.nextDouble();
        int index = 0;
        while (index < classLoads.size() - 1 && remainingShare >= classLoads.get(index).share()) {
            remainingShare -= classLoads.get(index++).share();
        }
        return index;
    }

    // Zones receive arrivals in proportion to their number of caches.
    private int nextZone() {
        List<Scenario.Zone> zones = scenario.zones;
        double remaining =
                random.nextDouble() * zones.stream().mapToInt(Scenario.Zone::caches).sum();
        int index = 0;
        while (index < zones.size() - 1 && remaining >= zones.get(index).caches()) {
            remaining -= zones.get(index++).caches();
        }
        return index;
    }

    // Returns the rate of the arrivals that a tenant's flood adds, as a multiple of the normal rate
    // of all tenants.
    private double floodRateMultiple() {
        ClientPopulation.TenantFlood flood = population.tenantFlood;
        return scenario.tenantCount == 0 ? 0 : (flood.multiple() - 1) / scenario.tenantCount;
    }

    // Returns the object that an arrival requests during a flood. A share of arrivals that
    // corresponds to the flood is attributed to the flooding tenant: the object is replaced by one
    // of a nearby group that this tenant owns. All other arrivals keep their object.
    private int applyFlood(int object) {
        double floodRateMultiple = floodRateMultiple();
        if (floodRateMultiple <= 0
                || random.nextDouble()
                        >= floodRateMultiple / (population.rateMultiple + floodRateMultiple)) {
            return object;
        }
        int group = object % scenario.groupCount;
        int target = group - group % scenario.tenantCount + population.tenantFlood.tenant();
        int existing = target < scenario.groupCount ? target : target - scenario.tenantCount;
        return object + existing - group;
    }

    private String nextObjectName(int object) {
        if (random.nextDouble() < population.largeObjectShare) {
            return "heavy" + uniqueName();
        }
        return random.nextDouble() < population.uniqueObjectShare
                ? "once" + uniqueName()
                : "o" + object;
    }

    private String uniqueName() {
        return namePrefix + ++nameCount;
    }
}
