package brooklock.proxy;

import static brooklock.proxy.LoopbackFleet.get;
import static org.junit.jupiter.api.Assertions.assertEquals;

import brooklock.routing.RouterEvent;
import brooklock.routing.RouterEvent.RequestReceived;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The router throws. */
class RoutingFailureTest {
    @TempDir Path dir;

    /**
     * A fault in the router's code throws for one request. Its client gets a 502 and does not wait
     * in vain; the routing thread goes on with all others.
     */
    @Test
    void routingFailureFailsItsRequestAndNoOther() throws Exception {
        try (LoopbackFleet fleet =
                new LoopbackFleet(dir, 1, 1, "")
                        .start(
                                settings ->
                                        new InterceptingRouter(settings) {
                                            @Override
                                            protected RouterEvent interceptEvent(
                                                    RouterEvent event) {
                                                if (event instanceof RequestReceived request
                                                        && request.part() == 13) {
                                                    throw new IllegalStateException("provoked");
                                                }
                                                return event;
                                            }
                                        })) {
            assertEquals(502, fleet.send(get("/scans/g/o/13", "")).status());
            assertEquals(200, fleet.send(get("/scans/g/o/1", "")).status());
            LoopbackFleet.await("both to be over", () -> fleet.dispatcher.openRequests() == 0);
        }
    }
}
