package brooklock.platform;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the decoding of frames from input split at any byte, and of invalid frames. */
class FrameDecoderTest {
    private static byte[] response(int code, long id, String fields, byte[] body) {
        return FrameEncoder.encode(Frame.ENDPOINT_MAGIC, code, id, fields, body).array();
    }

    @Test
    void framesAreDecodedAtEverySplit() throws MalformedMessageException {
        byte[] body = new byte[700];
        new Random(9).nextBytes(body);
        byte[] bytes =
                RpcTestClient.concat(
                        response(Frame.OK, -5, "rev=4be0,tell=hit", body),
                        response(Frame.MISS, 6, "", new byte[0]));
        for (int cut = 0; cut <= bytes.length; cut++) {
            List<Frame> frames = DecoderTestUtil.decode(new FrameDecoder()::next, bytes, cut);
            assertEquals(2, frames.size());
            assertEquals(-5, frames.get(0).id());
            assertEquals(Map.of("rev", "4be0", "tell", "hit"), frames.get(0).fields());
            assertArrayEquals(body, frames.get(0).body());
            assertEquals(Frame.MISS, frames.get(1).code());
        }
    }

    /**
     * Flips each bit of a frame in turn. The result must not be decoded as the original response:
     * it is malformed, incomplete, or has another code or id.
     */
    @Test
    void everySingleBitErrorIsDetected() {
        byte[] good = response(Frame.OK, 77, "rev=4b,tell=hit", new byte[40]);
        for (int bit = 0; bit < good.length * 8; bit++) {
            byte[] bad = good.clone();
            bad[bit / 8] ^= (byte) (1 << bit % 8);
            Frame frame;
            try {
                frame = new FrameDecoder().next(ByteBuffer.wrap(bad));
            } catch (MalformedMessageException expected) {
                continue;
            }
            assertTrue(frame == null || frame.id() != 77 || frame.code() != Frame.OK, "bit " + bit);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "5a 40 0000 c0000000 0000000000000001", // a body of 3 GB
                "5a 40 ffff 00000000 0000000000000001", // fields of 64 KB
                "a5 40 0000 00000000 0000000000000001", // the magic byte of a dispatcher
                "5a 10 0000 00000000 0000000000000001", // the code of a request
                "5a 40 0000 00000000 0000000000000001 00000001", // a wrong checksum
            })
    void invalidFramesAreRejectedWithoutMoreInput(String text) {
        assertThrows(
                MalformedMessageException.class,
                () ->
                        DecoderTestUtil.decode(
                                new FrameDecoder()::next, DecoderTestUtil.parseHex(text), 0));
    }

    @ParameterizedTest
    @ValueSource(strings = {"rev", "=1", "a=1,a=2", "a=1,", ","})
    void malformedFieldsAreRejected(String fields) {
        assertThrows(
                MalformedMessageException.class,
                () -> FrameDecoder.parseFields(fields.getBytes(StandardCharsets.ISO_8859_1)));
    }
}
