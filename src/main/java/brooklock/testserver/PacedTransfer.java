package brooklock.testserver;

import brooklock.http.ResponseHead;
import brooklock.net.HttpExchange;
import java.nio.ByteBuffer;
import java.util.function.DoubleSupplier;

/**
 * Sends the body of one response at the rate that the server's link currently allows. Used on the
 * server's I/O thread only.
 */
final class PacedTransfer {
    /** Time that one chunk takes at the current rate; the next chunk uses a changed rate. */
    private static final double PIECE_DURATION_S = 0.01;

    private static final int MIN_PIECE_BYTES = 512;

    private final HttpExchange exchange;
    private final byte[] content;
    private final int cutAt;
    private final DoubleSupplier bytesPerSecond;
    private final Runnable onEnded;
    private int position;
    private boolean ended;

    /**
     * Creates a new transfer, which begins with {@link #start}.
     *
     * @param cutAt number of body bytes after which the connection is reset; -1 for never
     * @param bytesPerSecond supplies the current rate, read before each chunk
     * @param onEnded called once when the transfer has completed, was cut or the client is gone
     */
    PacedTransfer(
            HttpExchange exchange,
            byte[] content,
            int cutAt,
            DoubleSupplier bytesPerSecond,
            Runnable onEnded) {
        this.exchange = exchange;
        this.content = content;
        this.cutAt = cutAt;
        this.bytesPerSecond = bytesPerSecond;
        this.onEnded = onEnded;
    }

    void start(ResponseHead head) {
        exchange.onClientGone(this::end);
        exchange.onWritable(this::next);
        if (exchange.startResponse(head, content.length)) {
            next();
        }
    }

    private void next() {
        if (exchange.isEnded() || ended) {
            end();
            return;
        }
        if (cutAt >= 0 && position >= cutAt) {
            exchange.abort();
            end();
            return;
        }
        if (position == content.length) {
            exchange.endResponse();
            end();
            return;
        }
        double currentRate = bytesPerSecond.getAsDouble();
        int count =
                Math.min(
                        content.length - position,
                        Math.max(MIN_PIECE_BYTES, (int) (currentRate * PIECE_DURATION_S)));
        ByteBuffer piece = ByteBuffer.wrap(content, position, count);
        position += count;
        boolean taken = exchange.writeBody(piece);
        exchange.loop()
                .schedule(
                        (long) (count / currentRate * 1e9),
                        () -> {
                            if (taken) {
                                next();
                            }
                        });
    }

    private void end() {
        if (!ended) {
            ended = true;
            onEnded.run();
        }
    }
}
