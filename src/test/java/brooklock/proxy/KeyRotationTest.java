package brooklock.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import brooklock.credentials.KeySet;
import brooklock.credentials.KeySetFile;
import com.nimbusds.jose.util.JSONObjectUtils;
import java.nio.file.Files;
import java.security.KeyPair;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Keys are rotated while tokens of both keys are in use. */
class KeyRotationTest extends AuthorizationTestBase {
    /**
     * Keys are rotated under load: announced, signing, retired. On the way a half-written file is
     * found, and one from which the old key has vanished without having been retired. No caller
     * with a valid token is rejected at any moment, and after the retirement the old key opens
     * nothing.
     */
    @Test
    void rotationUnderLoadRejectsNoValidCallerAndAcceptsNoRetiredKey() throws Exception {
        KeySetFile keyFile = new KeySetFile(dir.resolve("keys"));
        KeyPair newKey = KeySetFile.generate("ES256");
        try (LoopbackFleet fleet = newFleet().start()) {
            AtomicBoolean stop = new AtomicBoolean();
            AtomicBoolean announced = new AtomicBoolean();
            AtomicBoolean retired = new AtomicBoolean();
            AtomicInteger requests = new AtomicInteger();
            List<String> rejected = Collections.synchronizedList(new ArrayList<>());
            List<Thread> callers = new ArrayList<>();
            for (int threadIndex = 0; threadIndex < 4; threadIndex++) {
                boolean usesNewKey = threadIndex % 2 == 1;
                Thread thread =
                        new Thread(
                                () -> {
                                    while (!stop.get()) {
                                        boolean keyIsValid =
                                                usesNewKey ? announced.get() : !retired.get();
                                        if (keyIsValid) {
                                            String token =
                                                    usesNewKey
                                                            ? token(
                                                                    newKey,
                                                                    "k2",
                                                                    "acme",
                                                                    600 + requests.get())
                                                            : token(
                                                                    firstKey,
                                                                    "k1",
                                                                    "acme",
                                                                    600 + requests.get());
                                            int status =
                                                    status(
                                                            fleet,
                                                            "/own/acme/x/0",
                                                            "Authorization: Bearer "
                                                                    + token
                                                                    + "\r\n");
                                            if (status != 200 && (usesNewKey || !retired.get())) {
                                                rejected.add(
                                                        (usesNewKey ? "new " : "old ") + status);
                                            }
                                            requests.incrementAndGet();
                                        }
                                    }
                                });
                callers.add(thread);
                thread.start();
            }
            LoopbackFleet.await("some load", () -> requests.get() > 50);
            keyFile.addKey(KeySetFile.toJwk("k2", "ES256", newKey, KeySet.State.ANNOUNCED));
            LoopbackFleet.await(
                    "k2", () -> fleet.dispatcher.statePage().contains("key k2 ANNOUNCED"));
            announced.set(true);
            keyFile.setState("k2", KeySet.State.SIGNING, 0);
            LoopbackFleet.await(
                    "the switch", () -> fleet.dispatcher.statePage().contains("key k2 SIGNING"));
            int before = requests.get();
            LoopbackFleet.await("both in flight", () -> requests.get() > before + 100);
            // By accident the old key is taken out while it is still in use: nothing changes, and
            // the state page says so.
            String completeFile = Files.readString(dir.resolve("keys"));
            Files.writeString(
                    dir.resolve("keys"), completeFile.substring(0, completeFile.length() / 2));
            LoopbackFleet.await(
                    "half a file", () -> fleet.dispatcher.statePage().contains("refused "));
            Files.writeString(
                    dir.resolve("keys"),
                    JSONObjectUtils.toJSONString(
                            Map.of(
                                    "keys",
                                    List.of(
                                            KeySetFile.toJwk(
                                                    "k2",
                                                    "ES256",
                                                    newKey,
                                                    KeySet.State.SIGNING)))));
            LoopbackFleet.await(
                    "a key gone",
                    () ->
                            fleet.dispatcher
                                    .statePage()
                                    .contains("has gone without having been retired"));
            Files.writeString(dir.resolve("keys"), completeFile);
            LoopbackFleet.await(
                    "the right file",
                    () ->
                            !fleet.dispatcher.statePage().contains("refused has gone")
                                    && fleet.dispatcher.statePage().contains("key k1"));
            retired.set(true);
            keyFile.setState("k1", KeySet.State.RETIRED, 0);
            LoopbackFleet.await(
                    "the retirement",
                    () -> fleet.dispatcher.statePage().contains("key k1 RETIRED"));
            assertEquals(
                    401,
                    status(fleet, "/own/acme/x/0", bearer("acme")),
                    "a retired key opens nothing");
            stop.set(true);
            for (Thread thread : callers) {
                thread.join();
            }
            assertEquals(List.of(), rejected);
        }
    }
}
