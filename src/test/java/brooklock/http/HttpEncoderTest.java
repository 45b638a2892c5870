package brooklock.http;

import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class HttpEncoderTest {
    /** Text from a peer must not be able to add a field or a second message to an outgoing one. */
    @Test
    void lineEndsInValuesAreRejected() {
        assertThrows(InvalidMessageException.class, () -> new Fields().add("A", "b\r\nC: d"));
        assertThrows(InvalidMessageException.class, () -> new Fields().add("A:", "b"));
        RequestHead head = new RequestHead("GET", "/ HTTP/1.1\r\nX: y", "a", 1, new Fields());
        assertThrows(InvalidMessageException.class, () -> HttpEncoder.encodeRequest(head));
    }
}
