package brooklock.platform;

import brooklock.net.Dial;
import brooklock.net.IoLoop;
import brooklock.net.Stream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The command channel: events in their order, each once, over connections that break, fall silent
 * or repeat. Belongs to the I/O thread.
 */
final class CommandChannel implements Stream.Taker {
    private static final Logger LOG = LoggerFactory.getLogger(CommandChannel.class);
    // Time for a connection to come up, ns.
    private static final long CONNECT_NS = 1_000_000_000L;
    // Something comes each second; without it for so long the connection is taken for dead, ns.
    private static final long SILENT_NS = 1_600_000_000L;
    // Wait before the next try, ns; doubled with each that failed, up to so much.
    private static final long AGAIN_NS = 100_000_000L;
    private static final long MOST_AGAIN_NS = 500_000_000L;
    // A wait lasts between these parts of itself, drawn anew: what cuts one dispatcher off cuts off
    // the whole fleet, which
    // must not come back in one instant.
    private static final double WAIT_FROM = 0.2;
    private static final double WAIT_TO = 1.6;

    private final IoLoop loop;
    private final Consumer<Command> taker;
    private final SplittableRandom random;
    private InetSocketAddress address;
    private long cursor;
    private Dial dial;
    private Stream stream;
    private CommandReader reader;
    private long again = AGAIN_NS;
    private int round;

    CommandChannel(
            IoLoop loop,
            InetSocketAddress address,
            long cursor,
            long seed,
            Consumer<Command> taker) {
        this.loop = loop;
        this.address = address;
        this.cursor = cursor;
        random = new SplittableRandom(seed);
        this.taker = taker;
    }

    /** Number of the last event taken. */
    long cursor() {
        return cursor;
    }

    /** Goes on at another address. */
    void moveTo(InetSocketAddress next) {
        if (!next.equals(address)) {
            address = next;
            again = AGAIN_NS;
            end();
            connectLater();
        }
    }

    /** Connects, in place of any connection there is. */
    void connect() {
        end();
        round++;
        dial = Dial.to(loop, address, CONNECT_NS, this::opened, this::retry);
    }

    private void end() {
        if (dial != null) {
            dial.giveUp();
        }
        if (stream != null) {
            stream.close();
            stream = null;
        }
    }

    private void opened(Stream s) {
        stream = s;
        reader = new CommandReader();
        s.deadline(SILENT_NS);
        s.start(this);
        s.write(ByteBuffer.wrap(("resume " + cursor + "\n").getBytes(StandardCharsets.US_ASCII)));
    }

    private void retry(String why) {
        LOG.info("command channel at {}: {}", address, why);
        connectLater();
    }

    private void connectLater() {
        int mine = ++round;
        loop.after(
                (long) (again * random.nextDouble(WAIT_FROM, WAIT_TO)),
                () -> {
                    if (mine == round) {
                        connect();
                    }
                });
        again = Math.min(MOST_AGAIN_NS, again * 2);
    }

    @Override
    public void bytes(ByteBuffer in) {
        try {
            for (Command c = reader.next(in); c != null; c = reader.next(in)) {
                stream.deadline(SILENT_NS);
                again = AGAIN_NS;
                take(c);
            }
        } catch (Malformed e) {
            restart(e.getMessage());
        }
    }

    private void take(Command c) throws Malformed {
        if (c instanceof Command.Beat) {
            if (c.cursor() > cursor) {
                throw new Malformed(
                        "event " + c.cursor() + " is out, " + cursor + " was the last told");
            }
        } else if (c.cursor() > cursor + 1) {
            throw new Malformed("event " + c.cursor() + " after " + cursor);
        } else if (c.cursor() == cursor + 1) {
            cursor = c.cursor();
            taker.accept(c);
        }
    }

    private void restart(String why) {
        stream.close();
        retry(why);
    }

    @Override
    public void late() {
        restart("silent");
    }

    @Override
    public void ended(String why) {
        retry(why);
    }
}
