package brooklock.simulator;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;

/** Builds the bytes of records and frames for tests. */
final class TestRecords {
    static final String SETTINGS =
            """
            {"lanes": [{"name": "page", "effect": "read_like", "onTimeNs": 300000000, "giveUpNs": 3000000000}],
             "extra": {"secondTierKind": 1, "storeKind": 2, "passThroughOk": true, "unheardOf": [1]},
             "limits": {"tryLimit": 6}, "tickNs": 2000000, "zone": 1, "machineTypes": ["c", "p", "o"]}""";

    private static final int EVENT_START = 16;

    private TestRecords() {}

    /** Parses bytes from hexadecimal digits, which may be separated by white space. */
    static byte[] hex(String text) {
        return HexFormat.of().parseHex(text.replaceAll("\\s", ""));
    }

    static byte[] record(int code, byte[] fields) {
        return littleEndian(5 + fields.length)
                .put((byte) code)
                .putInt(fields.length)
                .put(fields)
                .array();
    }

    /** Returns a record that starts a router instance with the given settings. */
    static byte[] startRecord(int instance, String settings) {
        byte[] text = settings.getBytes(StandardCharsets.UTF_8);
        return record(
                EVENT_START,
                littleEndian(16 + text.length)
                        .putInt(instance)
                        .putLong(9)
                        .putInt(text.length)
                        .put(text)
                        .array());
    }

    static byte[] frame(byte[]... records) {
        int length = Arrays.stream(records).mapToInt(record -> record.length).sum();
        byte[] bytes = new byte[12 + length];
        ByteBuffer frame = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
        frame.putInt(length).putLong(5_000_000_000L);
        for (byte[] record : records) {
            frame.put(record);
        }
        return bytes;
    }

    private static ByteBuffer littleEndian(int bytes) {
        return ByteBuffer.allocate(bytes).order(ByteOrder.LITTLE_ENDIAN);
    }
}
