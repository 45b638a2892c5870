package brooklock.membership;

import brooklock.config.ChecksummedText;
import brooklock.config.EndpointId;
import brooklock.routing.EndpointState;
import java.util.Locale;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * What is in force, as it is saved: a first line with the version, for each source a line with its
 * order and the hosts as it named them, a line for each word by hand. Sealed, so that one that is
 * cut or damaged is refused whole.
 */
final class EndpointRegistryCodec {
    private static final String HEADER = "members 2";

    private EndpointRegistryCodec() {}

    static String encode(Membership.State state) {
        StringBuilder s = new StringBuilder(HEADER).append('\n');
        for (EventSource source : state.sources().values()) {
            s.append("source ")
                    .append(source.name())
                    .append(' ')
                    .append(source.epoch())
                    .append(' ')
                    .append(source.sequence())
                    .append(' ')
                    .append(source.lastHeardMs())
                    .append('\n');
            source.endpoints()
                    .values()
                    .forEach(m -> s.append(EndpointListCodec.encode(m)).append('\n'));
        }
        state.overrides()
                .forEach(
                        (id, word) ->
                                s.append("hand ")
                                        .append(state.endpoints().get(id).name())
                                        .append(' ')
                                        .append(word.name().toLowerCase(Locale.ROOT))
                                        .append('\n'));
        return ChecksummedText.withChecksum(s.toString());
    }

    /** Reads it back; a list as it was saved before there was an order is read as one without. */
    static Membership.State decode(String text) {
        if (!text.startsWith(HEADER + "\n")) {
            WatchEvent old = EndpointListCodec.decode(text);
            EventSource s = EventSource.initial(EventSource.UNVERSIONED).withEvent(old, 0);
            return new Membership.State(
                    HashTreePMap.singleton(s.name(), s), HashTreePMap.empty(), s.endpoints());
        }
        String[] rows = ChecksummedText.verifiedLines(text);
        PMap<String, EventSource> sources = HashTreePMap.empty();
        PMap<Long, EndpointState> byHand = HashTreePMap.empty();
        EventSource now = null;
        for (int i = 1; i < rows.length; i++) {
            String[] w = rows[i].split(" ");
            if (w[0].equals("source") && w.length == 5) {
                now =
                        new EventSource(
                                w[1],
                                Long.parseLong(w[2]),
                                Long.parseLong(w[3]),
                                Long.parseLong(w[4]),
                                EventSource.initial(w[1]).endpoints());
            } else if (w[0].equals("hand") && w.length == 3) {
                byHand =
                        byHand.plus(
                                EndpointId.of(w[1]),
                                EndpointListCodec.parseConstant(EndpointState.class, w[2]));
                continue;
            } else if (now != null) {
                ListedEndpoint m = EndpointListCodec.decodeEndpoint(rows[i]);
                now =
                        new EventSource(
                                now.name(),
                                now.epoch(),
                                now.sequence(),
                                now.lastHeardMs(),
                                now.endpoints().plus(m.id(), m));
            } else {
                throw new IllegalArgumentException(
                        "line " + (i + 1) + ": a host before any source");
            }
            sources = sources.plus(now.name(), now);
        }
        return new Membership.State(sources, byHand, Membership.State.EMPTY.endpoints());
    }
}
