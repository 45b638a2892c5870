package brooklock.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ForwardingTest {
    /**
     * A client names a field of its own and Content-Length in Connection. Its own field is dropped.
     * Content-Length remains, since the recipient would otherwise read the end of the forwarded
     * message in another place.
     */
    @Test
    void hopByHopFieldsAreDropped() {
        Fields received =
                new Fields()
                        .add("Connection", "x-mine, content-length")
                        .add("X-Mine", "1")
                        .add("TE", "a")
                        .add("Transfer-Encoding", "chunked")
                        .add("Content-Length", "3")
                        .add("Accept", "b");
        assertEquals(
                new Fields().add("Content-Length", "3").add("Accept", "b"),
                Forwarding.endToEnd(received));
    }

    @Test
    void viaNamesEachProxyAndRevealsALoop() {
        Fields fields = new Fields();
        Forwarding.appendVia(fields, 1, "edge-1");
        Forwarding.appendVia(fields, 0, "edge-2");
        assertEquals("1.1 edge-1, 1.0 edge-2", fields.get("via"));
        assertTrue(Forwarding.hasPassedThrough(fields, "EDGE-1"));
        assertFalse(Forwarding.hasPassedThrough(fields, "edge"));
    }
}
