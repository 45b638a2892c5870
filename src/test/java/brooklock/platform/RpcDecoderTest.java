package brooklock.platform;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients' messages at every cut, and bytes that are none. */
class RpcDecoderTest {
    @Test
    void messagesAreDecodedAtEveryCut() throws MalformedMessageException {
        byte[] body = new byte[300];
        new Random(7).nextBytes(body);
        Map<String, String> fields = Map.of("i", "9b1f03aa5c7e2d41", "d", "1500");
        byte[] bytes =
                RpcTestClient.concat(
                        RpcTestClient.encodeCall(7, "pages", fields, body),
                        RpcTestClient.encodeCancel(7),
                        RpcTestClient.encodeCall(300, "isWell", Map.of(), null));
        for (int cut = 0; cut <= bytes.length; cut++) {
            List<RpcMessage> messages = DecoderTestUtil.decode(new RpcDecoder()::next, bytes, cut);
            assertEquals(3, messages.size());
            RpcMessage.Call call = (RpcMessage.Call) messages.get(0);
            assertEquals(7, call.messageId());
            assertEquals("pages", call.method());
            assertEquals(fields, call.fields());
            assertArrayEquals(body, call.body());
            assertEquals(new RpcMessage.Cancel(7), messages.get(1));
            assertEquals(new RpcMessage.HealthCheck(300), messages.get(2));
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "c1", // no token
                "95 00", // a message of five parts
                "94 01", // a response
                "93 00", // a notification that is a call
                "94 00 ff", // a message id below 0
                "94 00 cf ffffffffffffffff", // ... or above all numbers
                "94 00 ca 3f800000", // ... or a floating-point number
                "94 00 01 c6 03938700", // a name of 60 MB
                "94 00 01 a1 61 92 df ffffffff", // four thousand million fields
                "94 00 01 a1 61 92 81 01", // a field without a name
                "94 00 01 a1 61 92 82 a1 69 a1 31 a1 69 a1 31", // a field twice
                "94 00 01 a1 61 92 81 a1 69 c4 01 31", // a value that is no text
                "94 00 01 a1 61 92 80 c6 7fffffff", // a body without end
                "94 00 01 a1 61 92 80 a1 31", // a body that is a text
                "94 00 01 a1 ff 92 80", // a name that is not UTF-8
                "93 02 a4 73746f70", // an unknown notification
            })
    void bytesThatAreNoMessageAreRejectedAtOnce(String text) {
        assertThrows(
                MalformedMessageException.class,
                () -> DecoderTestUtil.decode(new RpcDecoder()::next, DecoderTestUtil.hex(text), 0));
    }
}
