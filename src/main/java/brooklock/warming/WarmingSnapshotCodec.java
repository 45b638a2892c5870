package brooklock.warming;

import brooklock.config.ChecksummedText;
import brooklock.warming.CacheWarming.SnapshotEntry;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes and decodes the text form of a warming snapshot:
 *
 * <pre>
 * warming 1 SAVED-AT-MS
 * ID-IN-HEX STARTED-MS LOAD-SHARE PEER-FRACTION      (a line for each cache)
 * end LINES CHECKSUM
 * </pre>
 *
 * <p>Nothing is loaded from a truncated or damaged snapshot. All methods are static, free of side
 * effects and thread-safe.
 */
public final class WarmingSnapshotCodec {
    /** Maximum number of caches in one snapshot; further caches are left out. */
    public static final int MAX_ENTRIES = 4096;

    private static final String HEADER = "warming 1 ";

    /**
     * A decoded snapshot.
     *
     * @param savedAtMs wall time at which the snapshot was made, in ms since 1970
     * @param entries the states of the caches
     */
    public record WarmingSnapshot(long savedAtMs, List<SnapshotEntry> entries) {}

    private WarmingSnapshotCodec() {}

    /**
     * Encodes a snapshot.
     *
     * @param savedAtMs current wall time, in ms since 1970
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
     * @throws IllegalArgumentException if the text is truncated, damaged, too long or in the format
     *     of another version
     */
    public static WarmingSnapshot decode(String text) {
        String[] lines = ChecksummedText.verifiedLines(text);
        if (lines.length - 1 > MAX_ENTRIES || !lines[0].matches(HEADER + "\\d{1,15}")) {
            throw new IllegalArgumentException(
                    ("expected the header 'warming 1 SAVED-AT-MS' and at most %d entries but"
                                    + " received '%.40s' and %d entries")
                            .formatted(MAX_ENTRIES, lines[0], lines.length - 1));
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
