package brooklock.warming;

import brooklock.config.ChecksummedText;
import java.util.ArrayList;
import java.util.List;

/**
 * What was learned of cold caches, as it is written down: a first line with version and wall time,
 * a line a cache, sealed. Bounded; one that is cut or has a bit turned is refused whole.
 */
public final class WarmingSnapshotCodec {
    /** Most caches in one. */
    public static final int MAX_ENTRIES = 4096;

    /** One that was read. */
    public record WarmingSnapshot(long savedAtMs, List<CacheWarming.SnapshotEntry> entries) {}

    private WarmingSnapshotCodec() {}

    /** As text. */
    public static String encode(long wallMs, List<CacheWarming.SnapshotEntry> lines) {
        StringBuilder s = new StringBuilder("warming 1 ").append(wallMs).append('\n');
        int n = Math.min(MAX_ENTRIES, lines.size());
        lines.subList(0, n)
                .forEach(
                        l ->
                                s.append(Long.toHexString(l.endpointId()))
                                        .append(' ')
                                        .append(l.startedMs())
                                        .append(' ')
                                        .append(l.loadShare())
                                        .append(' ')
                                        .append(l.peerFraction())
                                        .append('\n'));
        return ChecksummedText.withChecksum(s.toString());
    }

    /** Reads it back; a damaged one throws with the reason. */
    public static WarmingSnapshot decode(String text) {
        String[] rows = ChecksummedText.verifiedLines(text);
        if (rows.length - 1 > MAX_ENTRIES || !rows[0].matches("warming 1 \\d{1,15}")) {
            throw new IllegalArgumentException("it is of another version, or too long");
        }
        List<CacheWarming.SnapshotEntry> lines = new ArrayList<>();
        for (int i = 1; i < rows.length; i++) {
            String[] w = rows[i].split(" ");
            lines.add(
                    new CacheWarming.SnapshotEntry(
                            Long.parseUnsignedLong(w[0], 16),
                            Long.parseLong(w[1]),
                            Double.parseDouble(w[2]),
                            Double.parseDouble(w[3])));
        }
        return new WarmingSnapshot(Long.parseLong(rows[0].substring(10)), lines);
    }
}
