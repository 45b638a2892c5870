package brooklock.rehearsal;

import brooklock.RouterApi.HostState;
import brooklock.http.Fields;
import brooklock.http.Framing;
import brooklock.http.RequestHead;
import brooklock.http.ResponseHead;
import brooklock.members.ListText;
import brooklock.members.Member;
import brooklock.net.AnswerTaker;
import brooklock.net.Client;
import brooklock.net.Failure;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * The registry and the one who spreads purges: they tell dispatchers over their control listeners, and write down when
 * each notice was answered. Lives on one I/O thread.
 */
final class Notices {
    /** A dispatcher was told of a host's state. */
    record Told(int dispatcher, int epoch, String host, HostState state, long atNs) {
    }

    /** A group was purged. */
    record Purge(int number, String group, long momentNs, double wallMs) {
    }

    /** A dispatcher was told of a purge. */
    record Heard(int dispatcher, int epoch, Purge purge, long atNs) {
    }

    private final Client client;
    private final List<Runner> dispatchers;
    private final Map<String, Member> list = new LinkedHashMap<>();
    private final List<Purge> recent = new ArrayList<>();
    final Collection<Told> told = new ConcurrentLinkedQueue<>();
    final Collection<Heard> heard = new ConcurrentLinkedQueue<>();
    final Collection<Purge> purges = new ConcurrentLinkedQueue<>();

    Notices(Client client, List<Runner> dispatchers) {
        this.client = client;
        this.dispatchers = dispatchers;
    }

    void first(Member m) {
        list.put(m.name(), m);
    }

    Member member(String name) {
        return list.get(name);
    }

    /** A host's state is news to every dispatcher. */
    void change(Member m) {
        list.put(m.name(), m);
        for (int i = 0; i < dispatchers.size(); i++) {
            list(i, false, List.of(m));
        }
    }

    /** A dispatcher that has just started is given the whole list and the purges that may still matter. */
    void welcome(int dispatcher, long purgesSinceNs) {
        list(dispatcher, true, list.values());
        recent.forEach(p -> {
            if (p.momentNs() - purgesSinceNs > 0) {
                tell(dispatcher, p);
            }
        });
    }

    private void list(int i, boolean full, Collection<Member> members) {
        Runner d = dispatchers.get(i);
        int epoch = d.epoch;
        List<Member> sent = List.copyOf(members);
        post(d, "/hosts", ListText.write(brooklock.members.Notice.unnumbered(full, sent)), () -> {
            long now = System.nanoTime();
            sent.forEach(m -> told.add(new Told(i, epoch, m.name(), m.state(), now)));
        });
    }

    void purge(Purge p) {
        purges.add(p);
        recent.add(p);
        for (int i = 0; i < dispatchers.size(); i++) {
            tell(i, p);
        }
    }

    private void tell(int i, Purge p) {
        Runner d = dispatchers.get(i);
        int epoch = d.epoch;
        post(d, "/purge?group=" + p.group() + "&at=" + String.format(java.util.Locale.ROOT, "%.3f", p.wallMs()), "",
                () -> heard.add(new Heard(i, epoch, p, System.nanoTime())));
    }

    private void post(Runner d, String target, String body, Runnable answered) {
        if (!d.alive) {
            return;
        }
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        Fields f = new Fields().add("Content-Length", Integer.toString(bytes.length));
        client.call(d.control, new RequestHead("POST", target, "control", 1, f), bytes, new AnswerTaker() {
            private int status;

            @Override
            public void head(ResponseHead head, Framing framing, boolean whole) {
                status = head.status();
            }

            @Override
            public boolean data(ByteBuffer piece) {
                return true;
            }

            @Override
            public void end(Fields trailers) {
                if (status == 200) {
                    answered.run();
                } else {
                    throw new IllegalStateException(d.name + " answers " + status + " to " + target);
                }
            }

            @Override
            public void failed(Failure failure, String why) {
                // It was killed meanwhile; it is given all of it when it is back.
            }
        });
    }
}
