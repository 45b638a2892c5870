package brooklock.routing;

import static brooklock.routing.RouterFixture.MS;
import static brooklock.routing.RouterFixture.PAGE;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.routing.RouterEvent.PurgeReceived;
import org.junit.jupiter.api.Test;

/** Tests which copies may be served after a purge. */
class PurgeLogTest {
    /**
     * An object is purged, and caches apply the purge at different times. Until all have, attempts
     * must require a copy younger than the purge, so that an old one is filled again and not
     * served.
     */
    @Test
    void noCopyOlderThanAPurgeMayBeServed() {
        RouterFixture fixture = new RouterFixture().withEndpoints();
        fixture.onEvent(new PurgeReceived(42, 3, 200 * MS));
        fixture.now += 300 * MS;
        long age = fixture.startRequest(PAGE, 42).maxAgeNs();
        assertTrue(age > 0 && age < 500 * MS, "age " + age);
        assertEquals(0, fixture.startRequest(PAGE, 43).maxAgeNs());
        fixture.onEvent(new PurgeReceived(0, 3, 0));
        assertEquals(
                1,
                fixture.startRequest(PAGE, 43).maxAgeNs(),
                "the purge of a group applies to all its objects");
        fixture.now += 7000 * MS;
        assertEquals(
                0, fixture.startRequest(PAGE, 43).maxAgeNs(), "every cache has applied the purge");
    }
}
