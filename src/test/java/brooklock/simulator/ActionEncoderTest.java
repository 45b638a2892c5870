package brooklock.simulator;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import brooklock.routing.RouterAction;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import org.junit.jupiter.api.Test;

/** Tests the encoding of actions byte by byte. */
class ActionEncoderTest {
    @Test
    void actionsAreEncodedInTheWireFormat() {
        ActionEncoder encoder = new ActionEncoder();
        encoder.add(
                3,
                new RouterAction.StartAttempt(
                        0x0ef63e5d3a91c4L, 0x03124a07, 60, 0x2c9011f2L, 2, 7, true, true, 60));
        encoder.add(3, new RouterAction.SetTimer(0x4d, 0x0213362490L));
        ByteBuffer frame = ByteBuffer.wrap(encoder.toFrame()).order(ByteOrder.LITTLE_ENDIAN);
        assertEquals(frame.capacity() - 4, frame.getInt(0));
        byte[] timer = new byte[21];
        frame.position(frame.capacity() - 21).get(timer);
        assertArrayEquals(TestRecords.hex("14 10000000 03000000 4d000000 9024361302000000"), timer);
        byte[] start = new byte[43];
        frame.position(4).get(start);
        assertArrayEquals(
                TestRecords.hex(
                        "1c 26000000 03000000 c4913a5d3ef60e00 074a1203 3c00000000000000 f211902c"
                                + "02 0700000000000000 03"),
                start);
    }
}
