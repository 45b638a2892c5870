package brooklock.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.Closeable;
import java.io.IOException;
import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the direct memory that peers can take with their connections. */
@Timeout(60)
class ConnectionResourceTest {
    private static final int CONNECTIONS = 200;
    private static final int RESPONSES = 32;
    private static final int RESPONSE_BYTES = 240_000;

    private final List<Closeable> opened = new ArrayList<>();
    private final BlockingQueue<RawConnection> accepted = new LinkedBlockingQueue<>();
    private IoThreads ioThreads;
    private IoLoop loop;

    @BeforeEach
    void start() throws IOException {
        ioThreads = IoThreads.start("resources", 1);
        loop = ioThreads.loop(0);
    }

    @AfterEach
    void stop() throws IOException {
        for (Closeable closeable : opened) {
            closeable.close();
        }
        ioThreads.close();
    }

    private static long directBytes() {
        return ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class).stream()
                .filter(pool -> pool.getName().equals("direct"))
                .findFirst()
                .orElseThrow()
                .getMemoryUsed();
    }

    private InetSocketAddress listen(RawConnection.EventListener listener) throws IOException {
        RawListener socket =
                RawListener.open(
                        ioThreads,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        CONNECTIONS,
                        connection -> {
                            connection.start(listener);
                            accepted.add(connection);
                        });
        opened.add(socket);
        return socket.address();
    }

    private Socket connect(InetSocketAddress address) throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        opened.add(socket);
        return socket;
    }

    /**
     * Guards against a direct buffer for each connection that has sent part of a message head: a
     * thousand such connections took all direct memory, and nobody was served any more.
     */
    @Test
    void unconsumedInputTakesNoDirectMemory() throws Exception {
        CountDownLatch received = new CountDownLatch(CONNECTIONS);
        InetSocketAddress address =
                listen(
                        new RawConnection.EventListener() {
                            @Override
                            public void onBytes(ByteBuffer input) {
                                received.countDown();
                            }

                            @Override
                            public void onClose(String reason) {}
                        });
        long bytesBefore = directBytes();
        for (int i = 0; i < CONNECTIONS; i++) {
            connect(address).getOutputStream().write('h');
        }
        assertTrue(received.await(20, TimeUnit.SECONDS));
        long growth = directBytes() - bytesBefore;
        assertTrue(
                growth <= CONNECTIONS * BufferPool.BUFFER_BYTES / 10,
                "direct memory grew by " + growth + " bytes");
    }

    /**
     * Guards against a copy of the whole queue of output to direct memory for each write: peers
     * that read slowly made responses to others late.
     */
    @Test
    void outputForASlowReaderTakesLittleDirectMemory() throws Exception {
        InetSocketAddress address =
                listen(
                        new RawConnection.EventListener() {
                            @Override
                            public void onBytes(ByteBuffer input) {}

                            @Override
                            public void onClose(String reason) {}
                        });
        connect(address);
        RawConnection connection = accepted.poll(20, TimeUnit.SECONDS);
        ByteBuffer[] responses = new ByteBuffer[RESPONSES];
        for (int i = 0; i < RESPONSES; i++) {
            responses[i] = ByteBuffer.allocate(RESPONSE_BYTES);
        }
        long bytesBefore = directBytes();
        CountDownLatch written = new CountDownLatch(1);
        loop.execute(
                () -> {
                    connection.write(responses);
                    written.countDown();
                });
        assertTrue(written.await(20, TimeUnit.SECONDS));
        long growth = directBytes() - bytesBefore;
        assertTrue(
                growth <= 2 * WriteQueue.MAX_BYTES_PER_WRITE,
                "direct memory grew by " + growth + " bytes");
    }
}
