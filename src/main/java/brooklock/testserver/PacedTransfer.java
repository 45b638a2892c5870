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
    /**
     * Time over which one chunk is sent. It is short because a change of the rate takes effect only
     * at the next chunk.
     */
    private static final double CHUNK_DURATION_S = 0.01;

    private static final int MIN_CHUNK_BYTES = 512;

    private final HttpExchange exchange;
    private final byte[] content;
    private final int truncateAtByte;
    private final DoubleSupplier bytesPerSecond;
    private final Runnable onEnded;
    private int sentBytes;
    private boolean ended;

    /**
     * Creates a new transfer, which begins with {@link #start}.
     *
     * @param truncateAtByte number of body bytes after which the connection is reset; -1 for never
     * @param bytesPerSecond supplies the current rate, read before each chunk
     * @param onEnded called once when the transfer has completed, was truncated, or the client has
     *     left
     */
    PacedTransfer(
            HttpExchange exchange,
            byte[] content,
            int truncateAtByte,
            DoubleSupplier bytesPerSecond,
            Runnable onEnded) {
        this.exchange = exchange;
        this.content = content;
        this.truncateAtByte = truncateAtByte;
        this.bytesPerSecond = bytesPerSecond;
        this.onEnded = onEnded;
    }

    void start(ResponseHead head) {
        exchange.onClientGone(this::finish);
        exchange.onWritable(this::sendNextChunk);
        if (exchange.startResponse(head, content.length)) {
            sendNextChunk();
        }
    }

    private void sendNextChunk() {
        if (exchange.isEnded() || ended) {
            finish();
            return;
        }
        if (truncateAtByte >= 0 && sentBytes >= truncateAtByte) {
            exchange.abort();
            finish();
            return;
        }
        if (sentBytes == content.length) {
            exchange.endResponse();
            finish();
            return;
        }
        double currentRate = bytesPerSecond.getAsDouble();
        int chunkBytes =
                Math.min(
                        content.length - sentBytes,
                        Math.max(MIN_CHUNK_BYTES, (int) (currentRate * CHUNK_DURATION_S)));
        ByteBuffer chunk = ByteBuffer.wrap(content, sentBytes, chunkBytes);
        sentBytes += chunkBytes;
        boolean written = exchange.writeBody(chunk);
        exchange.loop()
                .schedule(
                        (long) (chunkBytes / currentRate * 1e9),
                        () -> {
                            if (written) {
                                sendNextChunk();
                            }
                        });
    }

    private void finish() {
        if (!ended) {
            ended = true;
            onEnded.run();
        }
    }
}
