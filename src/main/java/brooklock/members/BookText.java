package brooklock.members;

import brooklock.RouterApi.HostState;
import brooklock.config.HostId;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.zip.CRC32C;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * What is in force, as it is saved: a first line with the version, for each source a line with its order and the hosts as
 * it named them, a line for each word by hand, and a last line with the number of lines and their CRC32C (RFC 3720). A
 * file that is cut, or has a bit turned, is refused whole.
 */
final class BookText {
    private static final String FIRST = "members 2";

    private BookText() {
    }

    static String write(Membership.State state) {
        StringBuilder s = new StringBuilder(FIRST).append('\n');
        int n = 1;
        for (Source source : state.sources().values()) {
            s.append("source ").append(source.name()).append(' ').append(source.epoch()).append(' ')
                    .append(source.number()).append(' ').append(source.heardMs()).append('\n');
            n++;
            for (Member m : source.words().values()) {
                s.append(ListText.write(m)).append('\n');
                n++;
            }
        }
        for (var hand : state.byHand().entrySet()) {
            s.append("hand ").append(state.inForce().get(hand.getKey()).name()).append(' ')
                    .append(hand.getValue().name().toLowerCase(Locale.ROOT)).append('\n');
            n++;
        }
        String body = s.toString();
        return body + "end " + n + " " + sum(body) + "\n";
    }

    private static String sum(String text) {
        CRC32C crc = new CRC32C();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        return Long.toHexString(crc.getValue());
    }

    /** Reads it back; a list as it was saved before there was an order is read as one without. */
    static Membership.State read(String text) {
        if (!text.startsWith(FIRST + "\n")) {
            Notice old = ListText.parse(text);
            Source s = Source.silent(Source.UNNUMBERED).after(old, 0);
            return new Membership.State(HashTreePMap.singleton(s.name(), s), HashTreePMap.empty(), s.words());
        }
        int end = text.lastIndexOf("\nend ") + 1;
        String body = text.substring(0, end);
        String[] rows = body.split("\n");
        if (end == 0 || !text.substring(end).equals("end " + rows.length + " " + sum(body) + "\n")) {
            throw new IllegalArgumentException("the list was cut short or damaged: its last line does not fit");
        }
        PMap<String, Source> sources = HashTreePMap.empty();
        PMap<Long, HostState> byHand = HashTreePMap.empty();
        Source now = null;
        for (int i = 1; i < rows.length; i++) {
            String[] w = rows[i].split(" ");
            if (w[0].equals("source") && w.length == 5) {
                now = new Source(w[1], Long.parseLong(w[2]), Long.parseLong(w[3]), Long.parseLong(w[4]),
                        Source.silent(w[1]).words());
            } else if (w[0].equals("hand") && w.length == 3) {
                byHand = byHand.plus(HostId.of(w[1]), ListText.word(HostState.class, w[2]));
                continue;
            } else if (now != null) {
                Member m = ListText.member(rows[i]);
                now = new Source(now.name(), now.epoch(), now.number(), now.heardMs(), now.words().plus(m.id(), m));
            } else {
                throw new IllegalArgumentException("line " + (i + 1) + ": a host before any source");
            }
            sources = sources.plus(now.name(), now);
        }
        return new Membership.State(sources, byHand, Membership.State.EMPTY.inForce());
    }
}
