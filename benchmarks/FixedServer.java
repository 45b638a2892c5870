import brooklock.http.Fields;
import brooklock.http.ResponseHead;
import brooklock.net.HttpExchange;
import brooklock.net.HttpListener;
import brooklock.net.IoThreads;
import brooklock.net.ServerLimits;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;

/**
 * Responds to every request with a cache hit. The prefix of the path selects the size of the body:
 * 1 KB for {@code /1k/}, 1 MB for {@code /1m/}, otherwise 100 MB.
 */
public final class FixedServer {
    private static final byte[] MEGABYTE = new byte[1_000_000];

    public static void main(String[] args) throws Exception {
        IoThreads net = IoThreads.start("fixed", 2);
        HttpListener l =
                HttpListener.open(
                        net,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        ServerLimits.STANDARD,
                        FixedServer::answer);
        System.out.println("listening " + l.address().getPort());
        Thread.currentThread().join();
    }

    private static void answer(HttpExchange x) {
        String t = x.head().target();
        long size = t.startsWith("/1k/") ? 1000 : t.startsWith("/1m/") ? 1_000_000 : 100_000_000;
        x.startResponse(
                new ResponseHead(
                        200,
                        new Fields()
                                .add("Cache-Status", "fixed; hit")
                                .add("Brooklock-Load", "util=0.10, inflight=1, x0=0.90")),
                size);
        new Object() {
            long left = size;

            void go() {
                while (left > 0 && !x.isEnded()) {
                    int n = (int) Math.min(left, 65536);
                    left -= n;
                    if (!x.writeBody(ByteBuffer.wrap(MEGABYTE, 0, n))) {
                        x.onWritable(this::go);
                        return;
                    }
                }
                x.endResponse();
            }
        }.go();
    }
}
