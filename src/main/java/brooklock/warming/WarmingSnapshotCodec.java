package brooklock.warming;

import brooklock.config.ChecksummedText;
import brooklock.warming.CacheWarming.SnapshotEntry;
import java.util.ArrayList;
import java.util.List;

/**
 * The text form of a warming snapshot:
 *
 * <pre>
 * warming 1 SAVED-AT-MS
 * ID-IN-HEX STARTED-MS LOAD-SHARE PEER-FRACTION      (a line for each cache)
 * end LINES CHECKSUM
 * </pre>
 *
 * <p>One that was cut short or damaged is rejected whole.
 */
public final class WarmingSnapshotCodec {
    /** Caches in one snapshot at most; further ones are left out. */
    public static final int MAX_ENTRIES = 4096;

    private static final String HEADER = "warming 1 ";

    /**
     * A decoded snapshot.
     *
     * @param savedAtMs wall time at which it was made, in ms since 1970
     * @param entries the caches
     */
    public record WarmingSnapshot(long savedAtMs, List<SnapshotEntry> entries) {}

    private WarmingSnapshotCodec() {}

    /**
     * Encodes a snapshot.
     *
     * @param savedAtMs wall time now, in ms since 1970
     */
    public static String encode(long savedAtMs, List<SnapshotEntry> entries) {
        StringBuilder text = new StringBuilder(HEADER).append(savedAtMs).append('\n');
        for (SnapshotEntry entry : entries.subList(0, Math.min(MAX_ENTRIES, entries.size()))) {
            text.append(Long.toHexString(entry.endpointId())).append(' ');
            text.append(entry.startedMs()).append(' ');
            text.append(entry.loadShare()).append(' ');
            text.append(entry.peerFraction()).append('\n');
        }
        return ChecksummedText.withChecksum(text.toString());
    }

    /**
     * Decodes a snapshot.
     *
     * @throws IllegalArgumentException if it is damaged, too long, or of another version
     */
    public static WarmingSnapshot decode(String text) {
        String[] lines = ChecksummedText.verifiedLines(text);
        if (lines.length - 1 > MAX_ENTRIES || !lines[0].matches(HEADER + "\\d{1,15}")) {
            throw new IllegalArgumentException("it is of another version, or too long");
        }
        List<SnapshotEntry> entries = new ArrayList<>();
        for (int i = 1; i < lines.length; i++) {
            String[] fields = lines[i].split(" ", 0);
            entries.add(
                    new SnapshotEntry(
                            Long.parseUnsignedLong(fields[0], 16),
                            Long.parseLong(fields[1]),
                            Double.parseDouble(fields[2]),
                            Double.parseDouble(fields[3])));
        }
        return new WarmingSnapshot(Long.parseLong(lines[0].substring(HEADER.length())), entries);
    }
}
