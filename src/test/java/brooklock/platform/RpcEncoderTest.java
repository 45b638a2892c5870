package brooklock.platform;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the encoding of responses to clients. */
class RpcEncoderTest {
    private static byte[] bytesOf(ByteBuffer... buffers) {
        byte[][] bytes = new byte[buffers.length][];
        for (int i = 0; i < buffers.length; i++) {
            bytes[i] = new byte[buffers[i].remaining()];
            buffers[i].get(bytes[i]);
        }
        return RpcTestClient.concat(bytes);
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    /** Clients handle an error by its name alone. */
    @ParameterizedTest
    @CsvSource({"REJECTED, Overloaded", "FAILED, Internal", "INVALID, Invalid"})
    void errorsHaveTheirProtocolNames(RpcError error, String name) {
        byte[] expected =
                RpcTestClient.concat(
                        DecoderTestUtil.parseHex("94 01 07 92"),
                        new byte[] {(byte) (0xa0 | name.length())},
                        ascii(name),
                        DecoderTestUtil.parseHex("80 c0"));
        assertArrayEquals(expected, bytesOf(RpcEncoder.error(7, error)));
        assertEquals(3, RpcError.values().length);
    }

    @Test
    void aRejectionStatesTheRetryDelayInWholeMilliseconds() {
        byte[] head = DecoderTestUtil.parseHex("94 01 ce 0000012c 92 aa 4f7665726c6f61646564");
        assertArrayEquals(
                RpcTestClient.concat(head, DecoderTestUtil.parseHex("80 c0")),
                bytesOf(RpcEncoder.rejected(300, 0)));
        assertArrayEquals(
                RpcTestClient.concat(head, DecoderTestUtil.parseHex("81 a1 77 a1 31 c0")),
                bytesOf(RpcEncoder.rejected(300, 1)));
        assertArrayEquals(
                RpcTestClient.concat(head, DecoderTestUtil.parseHex("81 a1 77 a4 31353030 c0")),
                bytesOf(RpcEncoder.rejected(300, 1_500_999_999)));
    }

    @ParameterizedTest
    @CsvSource({"0, c400", "255, c4ff", "256, c50100", "65535, c5ffff", "240000, c60003a980"})
    void bodiesOfEveryLengthFormatAreEncoded(int length, String head) {
        byte[] body = new byte[length];
        assertArrayEquals(
                RpcTestClient.concat(
                        DecoderTestUtil.parseHex("94 01 07 c0 92" + head),
                        body,
                        DecoderTestUtil.parseHex("80")),
                bytesOf(RpcEncoder.served(7, body)));
    }

    @Test
    void aConfirmedCopyHasNoBody() {
        assertArrayEquals(
                DecoderTestUtil.parseHex("94 01 07 c0 92 c400 81 a6 6e6f746d6f64 a1 31"),
                bytesOf(RpcEncoder.notModified(7)));
    }

    @Test
    void aHealthCheckResponseIsTrueOrFalse() {
        assertArrayEquals(
                DecoderTestUtil.parseHex("94 01 07 c0 92 c3 80"),
                bytesOf(RpcEncoder.health(7, true)));
        assertArrayEquals(
                DecoderTestUtil.parseHex("94 01 07 c0 92 c2 80"),
                bytesOf(RpcEncoder.health(7, false)));
    }
}
