package brooklock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A dispatcher as a process of its own: how it starts, what signals do, how it ends. */
@Timeout(60)
class DispatcherProcessTest {
    private static final Pattern SERVING = Pattern.compile("serving /(127\\.0\\.0\\.1):([0-9]+)");

    @TempDir private Path dir;
    private Process process;
    private BufferedReader log;

    @AfterEach
    void end() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    private void start(String config) throws IOException {
        Path file = Files.writeString(dir.resolve("config.json"), config);
        ProcessBuilder b =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-Xmx48m",
                                "-cp",
                                System.getProperty("java.class.path"),
                                "brooklock.Main",
                                "node")
                        .redirectErrorStream(true);
        b.environment().put("NODE_CONFIG", file.toString());
        process = b.start();
        log =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    }

    private InetSocketAddress serving() throws IOException {
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            Matcher m = SERVING.matcher(line);
            if (m.find()) {
                return new InetSocketAddress(m.group(1), Integer.parseInt(m.group(2)));
            }
        }
        throw new AssertionError("it does not serve");
    }

    @Test
    void aNoticeToEndAlsoTwiceIsFollowedByAnEndOfItsOwn() throws Exception {
        try (FakeEndpoint origin = new FakeEndpoint(FakeEndpoint.serving(new byte[] {7}))) {
            start(
                    TestConfigs.config(
                            "127.0.0.1:9",
                            List.of(
                                    TestConfigs.endpoint(
                                            "s-o", origin.address(), "origin", "active"))));
            try (RpcTestClient caller = new RpcTestClient(serving())) {
                Map<String, String> f = RpcTestClient.fields(0x41, 0x42, 2400);
                caller.send(RpcTestClient.encodeCall(1, TestConfigs.READ_CLASS, f, new byte[0]));
                assertEquals(1, caller.response().messageId());
                process.destroy();
                process.destroy();
                // The client rests until it is ended.
                assertEquals(null, caller.response());
            }
            assertTrue(process.waitFor(20, TimeUnit.SECONDS));
            assertEquals(0, process.exitValue());
        }
    }

    @Test
    void signalsBeforeItIsReadyWaitForTheStart() throws Exception {
        try (ServerSocket channel = new ServerSocket(0, 9, InetAddress.getLoopbackAddress())) {
            start(TestConfigs.config("127.0.0.1:" + channel.getLocalPort(), List.of()));
            assertEquals("starting", word());
            signal("HUP");
            signal("TERM");
            assertTrue(process.waitFor(20, TimeUnit.SECONDS));
            assertEquals(0, process.exitValue());
        }
    }

    // The next line that is neither one of the log nor one of the virtual machine's own.
    private String word() throws IOException {
        String line = log.readLine();
        while (line != null && (line.startsWith("{") || line.startsWith("Picked up "))) {
            line = log.readLine();
        }
        return line;
    }

    private void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    @ParameterizedTest
    @CsvSource({"settings", "known", "name", "listen", "channel"})
    void whatIsMissingEndsTheStartWithOneLine(String field) throws Exception {
        JsonObject config =
                JsonParser.parseString(TestConfigs.config("127.0.0.1:9", List.of()))
                        .getAsJsonObject();
        config.remove(field);
        start(config.toString());
        assertEquals("starting", word());
        String all = String.join("\n", log.lines().toList());
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        assertEquals(1, process.exitValue());
        assertEquals("brooklock: the configuration can't be read: " + field + " is missing", all);
    }

    @ParameterizedTest
    @ValueSource(strings = {"dcs", "lanes", "machineTypes", "limits", "extra", "invariants"})
    void settingsWithoutAPartServeOrEndTheStartWithOneLine(String field) throws Exception {
        JsonObject config =
                JsonParser.parseString(TestConfigs.config("127.0.0.1:9", List.of()))
                        .getAsJsonObject();
        config.getAsJsonObject("settings").remove(field);
        config.addProperty("unheard-of", 1);
        start(config.toString());
        assertEquals("starting", word());
        String first = word();
        if (!first.startsWith("brooklock: ")) {
            assertTrue(SERVING.matcher(first).find(), first);
            return;
        }
        assertEquals("brooklock: the configuration can't be read: " + field + " is missing", first);
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        assertEquals(1, process.exitValue());
    }

    @Test
    void theStartScriptReadsNothingAndStartsNoProgramOnTheWay() throws Exception {
        Path java = dir.resolve("java");
        Files.writeString(java, "#!/bin/sh\necho \"$@\"\necho pid $$\n");
        assertTrue(java.toFile().setExecutable(true));
        // Whoever opens this one to read waits for ever.
        Path config = dir.resolve("fifo");
        assertEquals(0, new ProcessBuilder("mkfifo", config.toString()).start().waitFor());
        ProcessBuilder b = new ProcessBuilder("deploy/node").redirectErrorStream(true);
        b.environment().put("PATH", dir.toString());
        b.environment().put("NODE_CONFIG", config.toString());
        process = b.start();
        String out = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(out.contains("-Djava.net.preferIPv4Stack=true "), out);
        assertTrue(out.contains("pid " + process.pid()), out);
        assertFalse(out.contains("not found"), out);
    }
}
