import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * Relays bytes between the connections of a client and a server without parsing them, which
 * measures the cost of XNIO alone.
 */
public final class BareRelay {
    public static void main(String[] args) throws Exception {
        InetSocketAddress to =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), Integer.parseInt(args[0]));
        int threads = Integer.parseInt(args[1]);
        XnioWorker worker =
                Xnio.getInstance("nio")
                        .createWorker(
                                OptionMap.builder()
                                        .set(Options.WORKER_IO_THREADS, threads)
                                        .getMap());
        ChannelListener<AcceptingChannel<StreamConnection>> accept =
                l -> {
                    try {
                        for (StreamConnection c = l.accept(); c != null; c = l.accept()) {
                            StreamConnection client = c;
                            client.getIoThread()
                                    .execute(
                                            () ->
                                                    client.getIoThread()
                                                            .openStreamConnection(
                                                                    to,
                                                                    server -> {
                                                                        pipe(client, server);
                                                                        pipe(server, client);
                                                                    },
                                                                    OptionMap.create(
                                                                            Options.TCP_NODELAY,
                                                                            true)));
                        }
                    } catch (Exception e) {
                        e.printStackTrace();
                    }
                };
        AcceptingChannel<StreamConnection> listener =
                worker.createStreamConnectionServer(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        accept,
                        OptionMap.create(Options.TCP_NODELAY, true));
        listener.resumeAccepts();
        System.out.println(
                "listening " + listener.getLocalAddress(InetSocketAddress.class).getPort());
        Thread.currentThread().join();
    }

    private static void pipe(StreamConnection from, StreamConnection to) {
        ByteBuffer b = ByteBuffer.allocateDirect(16 * 1024);
        from.getSourceChannel()
                .setReadListener(
                        c -> {
                            try {
                                int n = c.read(b);
                                if (n < 0) {
                                    IoUtils.safeClose(from, to);
                                    return;
                                }
                                b.flip();
                                to.getSinkChannel().write(b);
                                if (b.hasRemaining()) {
                                    c.suspendReads();
                                    to.getSinkChannel().resumeWrites();
                                } else {
                                    b.clear();
                                }
                            } catch (Exception e) {
                                IoUtils.safeClose(from, to);
                            }
                        });
        to.getSinkChannel()
                .setWriteListener(
                        c -> {
                            try {
                                c.write(b);
                                if (!b.hasRemaining()) {
                                    b.clear();
                                    c.suspendWrites();
                                    from.getSourceChannel().resumeReads();
                                }
                            } catch (Exception e) {
                                IoUtils.safeClose(from, to);
                            }
                        });
        from.getSourceChannel().resumeReads();
    }
}
