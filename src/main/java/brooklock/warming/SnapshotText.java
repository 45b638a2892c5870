package brooklock.warming;

import brooklock.config.Sealed;
import java.util.ArrayList;
import java.util.List;

/**
 * What was learned of cold caches, as it is written down: a first line with version and wall time,
 * a line a cache, sealed. Bounded; one that is cut or has a bit turned is refused whole.
 */
public final class SnapshotText {
    /** Most caches in one. */
    public static final int MOST = 4096;

    /** One that was read. */
    public record Read(long wallMs, List<Warming.Line> lines) {}

    private SnapshotText() {}

    /** As text. */
    public static String write(long wallMs, List<Warming.Line> lines) {
        StringBuilder s = new StringBuilder("warming 1 ").append(wallMs).append('\n');
        int n = Math.min(MOST, lines.size());
        lines.subList(0, n)
                .forEach(
                        l ->
                                s.append(Long.toHexString(l.host()))
                                        .append(' ')
                                        .append(l.startedMs())
                                        .append(' ')
                                        .append(l.share())
                                        .append(' ')
                                        .append(l.part())
                                        .append('\n'));
        return Sealed.seal(s.toString());
    }

    /** Reads it back; a damaged one throws with the reason. */
    public static Read read(String text) {
        String[] rows = Sealed.open(text);
        if (rows.length - 1 > MOST || !rows[0].matches("warming 1 \\d{1,15}")) {
            throw new IllegalArgumentException("it is of another version, or too long");
        }
        List<Warming.Line> lines = new ArrayList<>();
        for (int i = 1; i < rows.length; i++) {
            String[] w = rows[i].split(" ");
            lines.add(
                    new Warming.Line(
                            Long.parseUnsignedLong(w[0], 16),
                            Long.parseLong(w[1]),
                            Double.parseDouble(w[2]),
                            Double.parseDouble(w[3])));
        }
        return new Read(Long.parseLong(rows[0].substring(10)), lines);
    }
}
