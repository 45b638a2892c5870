package brooklock.proxy;

import static brooklock.proxy.LoopbackFleet.get;
import static org.junit.jupiter.api.Assertions.assertEquals;

import brooklock.routing.RouterEvent;
import brooklock.routing.RouterEvent.RequestReceived;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests exceptions of the router. */
class RoutingFailureTest {
    @TempDir Path dir;

    /**
     * The router throws an exception for one request. The client must get a 502 and not wait in
     * vain, and the routing thread must continue with all other requests.
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
                                                    throw new IllegalStateException(
                                                            "injected failure");
                                                }
                                                return event;
                                            }
                                        })) {
            assertEquals(502, fleet.send(get("/scans/g/o/13", "")).status());
            assertEquals(200, fleet.send(get("/scans/g/o/1", "")).status());
            LoopbackFleet.await("both requests to end", () -> fleet.dispatcher.openRequests() == 0);
        }
    }
}
