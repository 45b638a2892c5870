package brooklock.membership;

import brooklock.config.ChecksummedText;
import brooklock.config.EndpointId;
import brooklock.routing.EndpointState;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Encodes and decodes the text form of a {@link Membership.State} in the saved endpoint list:
 *
 * <pre>
 * members 2
 * source NAME EPOCH NUMBER LAST-HEARD-MS      (then the source's endpoints, a line each)
 * hand NAME STATE                             (an operator's override)
 * end LINES CHECKSUM
 * </pre>
 *
 * <p>The last line holds a checksum, so that a truncated or damaged file is detected and rejected.
 * Lists that were saved before events had versions, in the form of {@link EndpointListCodec}, are
 * decoded too. All methods are static, free of side effects and thread-safe.
 */
final class MembershipStateCodec {
    private static final String HEADER = "members 2";
    private static final String SOURCE = "source";
    private static final int SOURCE_FIELDS = 5;
    private static final String OVERRIDE = "hand";
    private static final int OVERRIDE_FIELDS = 3;

    private MembershipStateCodec() {}

    /** Encodes the sources and overrides of a state, followed by the line with the checksum. */
    static String encode(Membership.State state) {
        StringBuilder text = new StringBuilder(HEADER).append('\n');
        for (EventSource source : state.sources().values()) {
            text.append(SOURCE).append(' ').append(source.name());
            text.append(' ').append(source.epoch());
            text.append(' ').append(source.sequence());
            text.append(' ').append(source.lastEventMs()).append('\n');
            for (ListedEndpoint endpoint : source.endpoints().values()) {
                text.append(EndpointListCodec.encode(endpoint)).append('\n');
            }
        }
        state.overrides()
                .forEach(
                        (id, override) -> {
                            String name = state.endpoints().get(id).name();
                            text.append(OVERRIDE).append(' ').append(name).append(' ');
                            text.append(EndpointListCodec.lowerCaseName(override)).append('\n');
                        });
        return ChecksummedText.withChecksum(text.toString());
    }

    /**
     * Decodes a saved list. The result of the current format contains sources and overrides only;
     * {@link Membership#restore} merges them into the endpoints in force.
     *
     * @throws IllegalArgumentException if the list is truncated, damaged or malformed; the message
     *     states the reason
     */
    static Membership.State decode(String text) {
        if (!text.startsWith(HEADER + "\n")) {
            return decodeUnversioned(text);
        }
        String[] lines = ChecksummedText.verifiedLines(text);
        PMap<String, EventSource> sources = HashTreePMap.empty();
        PMap<Long, EndpointState> overrides = HashTreePMap.empty();
        EventSource source = null;
        for (int i = 1; i < lines.length; i++) {
            String[] fields = lines[i].split(" ");
            if (fields[0].equals(OVERRIDE) && fields.length == OVERRIDE_FIELDS) {
                EndpointState state =
                        EndpointListCodec.parseConstant(EndpointState.class, fields[2]);
                overrides = overrides.plus(EndpointId.of(fields[1]), state);
                continue;
            }
            if (fields[0].equals(SOURCE) && fields.length == SOURCE_FIELDS) {
                source = decodeSource(fields);
            } else if (source != null) {
                ListedEndpoint endpoint = EndpointListCodec.decodeEndpoint(lines[i]);
                source = source.withEndpoints(source.endpoints().plus(endpoint.id(), endpoint));
            } else {
                throw new MalformedEndpointListException(
                        i + 1,
                        "expected a 'source' line before the first endpoint but received '%.40s'"
                                .formatted(lines[i]));
            }
            sources = sources.plus(source.name(), source);
        }
        return new Membership.State(sources, overrides, Membership.State.EMPTY.endpoints());
    }

    private static EventSource decodeSource(String[] fields) {
        return new EventSource(
                fields[1],
                Long.parseLong(fields[2]),
                Long.parseLong(fields[3]),
                Long.parseLong(fields[4]),
                EventSource.initial(fields[1]).endpoints());
    }

    private static Membership.State decodeUnversioned(String text) {
        EventSource source =
                EventSource.initial(EventSource.UNVERSIONED)
                        .withEvent(EndpointListCodec.decode(text), 0);
        return new Membership.State(
                HashTreePMap.singleton(source.name(), source),
                HashTreePMap.empty(),
                source.endpoints());
    }
}
