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

/** Tests the rotation of keys while tokens of both keys are in use. */
class KeyRotationTest extends AuthorizationTestBase {
    /**
     * Keys are rotated under load and become announced, signing and retired. Meanwhile, the key
     * file is once only half written, and once lacks the old key although the key was not retired.
     * At no time may a caller with a valid token be rejected, and after the retirement the old key
     * must be rejected.
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
            LoopbackFleet.await("the first requests", () -> requests.get() > 50);
            keyFile.addKey(KeySetFile.toJwk("k2", "ES256", newKey, KeySet.State.ANNOUNCED));
            LoopbackFleet.await(
                    "key k2 to be announced",
                    () -> fleet.dispatcher.statePage().contains("key k2 ANNOUNCED"));
            announced.set(true);
            keyFile.setState("k2", KeySet.State.SIGNING, 0);
            LoopbackFleet.await(
                    "key k2 to sign",
                    () -> fleet.dispatcher.statePage().contains("key k2 SIGNING"));
            int before = requests.get();
            LoopbackFleet.await("requests with both keys", () -> requests.get() > before + 100);
            // The file is half written, then lacks the old key while that is still in use: the
            // previous keys stay in force and the state page shows the error.
            String completeFile = Files.readString(dir.resolve("keys"));
            Files.writeString(
                    dir.resolve("keys"), completeFile.substring(0, completeFile.length() / 2));
            LoopbackFleet.await(
                    "the half-written file to be refused",
                    () -> fleet.dispatcher.statePage().contains("refused "));
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
                    "the file without the old key to be refused",
                    () ->
                            fleet.dispatcher
                                    .statePage()
                                    .contains("has gone without having been retired"));
            Files.writeString(dir.resolve("keys"), completeFile);
            LoopbackFleet.await(
                    "the complete file to be loaded",
                    () ->
                            !fleet.dispatcher.statePage().contains("refused has gone")
                                    && fleet.dispatcher.statePage().contains("key k1"));
            retired.set(true);
            keyFile.setState("k1", KeySet.State.RETIRED, 0);
            LoopbackFleet.await(
                    "key k1 to be retired",
                    () -> fleet.dispatcher.statePage().contains("key k1 RETIRED"));
            assertEquals(
                    401,
                    status(fleet, "/own/acme/x/0", bearer("acme")),
                    "a token of a retired key must be rejected");
            stop.set(true);
            for (Thread thread : callers) {
                thread.join();
            }
            assertEquals(List.of(), rejected);
        }
    }
}
