package brooklock.platform;

import com.google.gson.JsonObject;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.extension.AfterEachCallback;
import org.junit.jupiter.api.extension.BeforeEachCallback;
import org.junit.jupiter.api.extension.ExtensionContext;

/**
 * Extension that runs a complete dispatcher on loopback sockets for each test. The test provides
 * the clients, the endpoints and the discovery service. All sockets are closed after the test.
 */
final class LoopbackDispatcher implements BeforeEachCallback, AfterEachCallback {
    /** The body that the origin serves. */
    static final byte[] BODY = "the bytes of the part".getBytes(StandardCharsets.US_ASCII);

    private final List<FakeEndpoint> caches = new ArrayList<>();
    private final List<Closeable> opened = new ArrayList<>();
    private Path configFile;
    private ServerSocket discoveryService;
    private FakeEndpoint origin;
    private PlatformDispatcher dispatcher;
    private RpcTestClient client;

    @Override
    public void beforeEach(ExtensionContext context) throws IOException {
        configFile = Files.createTempFile("dispatcher", ".json");
        discoveryService = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    }

    @Override
    public void afterEach(ExtensionContext context) throws IOException {
        if (client != null) {
            client.close();
        }
        if (dispatcher != null) {
            dispatcher.close();
        }
        for (Closeable closeable : opened) {
            closeable.close();
        }
        discoveryService.close();
        Files.delete(configFile);
    }

    /** Starts the dispatcher with the specified caches and an origin that serves {@link #BODY}. */
    void start(FakeEndpoint.FrameHandler... cacheHandlers) throws IOException {
        List<JsonObject> list = new ArrayList<>();
        for (FakeEndpoint.FrameHandler handler : cacheHandlers) {
            FakeEndpoint cache = newEndpoint(handler);
            caches.add(cache);
            list.add(TestConfigs.endpoint("s-" + caches.size(), cache.address(), "box", "active"));
        }
        origin = newEndpoint(FakeEndpoint.serving(BODY));
        list.add(TestConfigs.endpoint("s-o", origin.address(), "origin", "active"));
        writeConfig(TestConfigs.config("127.0.0.1:" + discoveryService.getLocalPort(), list));
        dispatcher = PlatformDispatcher.start(configFile);
        client = newClient();
    }

    void writeConfig(String text) throws IOException {
        Files.writeString(configFile, text);
    }

    /** Starts one more endpoint. */
    FakeEndpoint newEndpoint(FakeEndpoint.FrameHandler handler) throws IOException {
        FakeEndpoint endpoint = new FakeEndpoint(handler);
        opened.add(endpoint);
        return endpoint;
    }

    /** Connects one more client. */
    RpcTestClient newClient() throws IOException {
        RpcTestClient newClient = new RpcTestClient(dispatcher.address());
        opened.add(newClient);
        return newClient;
    }

    PlatformDispatcher dispatcher() {
        return dispatcher;
    }

    RpcTestClient client() {
        return client;
    }

    /** Returns a cache by its index in the arguments of {@link #start}. */
    FakeEndpoint cache(int index) {
        return caches.get(index);
    }

    FakeEndpoint origin() {
        return origin;
    }

    /** Waits for the dispatcher to connect to its discovery service. */
    Socket acceptDiscoveryClient() throws IOException {
        return discoveryService.accept();
    }

    /** Waits until a condition is true. */
    static void await(BooleanSupplier condition) throws InterruptedException {
        while (!condition.getAsBoolean()) {
            TimeUnit.MILLISECONDS.sleep(2);
        }
    }
}
