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

/** Tests the decoding of clients' messages from input split at any byte, and of invalid ones. */
class RpcDecoderTest {
    @Test
    void messagesAreDecodedAtEverySplit() throws MalformedMessageException {
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
                "c1", // a byte that starts no token
                "95 00", // a message of five elements
                "94 01", // a response
                "93 00", // a notification with the message type of a call
                "94 00 ff", // a negative message id
                "94 00 cf ffffffffffffffff", // a message id above 2^63 - 1
                "94 00 ca 3f800000", // a floating-point message id
                "94 00 01 c6 03938700", // a byte string of 60 MB as method
                "94 00 01 a1 61 92 df ffffffff", // 2^32 - 1 fields
                "94 00 01 a1 61 92 81 01", // a field name that is not a text
                "94 00 01 a1 61 92 82 a1 69 a1 31 a1 69 a1 31", // a duplicate field
                "94 00 01 a1 61 92 81 a1 69 c4 01 31", // a field value that is not a text
                "94 00 01 a1 61 92 80 c6 7fffffff", // a body of 2 GB
                "94 00 01 a1 61 92 80 a1 31", // a text as body
                "94 00 01 a1 ff 92 80", // a method that is not valid UTF-8
                "93 02 a4 73746f70", // an unknown notification
            })
    void invalidMessagesAreRejectedWithoutMoreInput(String text) {
        assertThrows(
                MalformedMessageException.class,
                () ->
                        DecoderTestUtil.decode(
                                new RpcDecoder()::next, DecoderTestUtil.parseHex(text), 0));
    }
}
