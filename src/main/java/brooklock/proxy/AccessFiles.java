package brooklock.proxy;

import brooklock.authorization.Policy;
import brooklock.authorization.PolicyReader;
import brooklock.config.Settings.AccessSettings;
import brooklock.config.Settings.CertificatePair;
import brooklock.credentials.CertificateTrust;
import brooklock.credentials.KeySet;
import brooklock.credentials.MonotonicWallClock;
import brooklock.credentials.TlsContexts;
import brooklock.credentials.WatchedFile;
import brooklock.net.HttpListener;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import javax.net.ssl.SSLContext;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Loads and polls the files that authorization and TLS depend on: policy, keys, certificates and
 * revocation lists.
 *
 * <p>One thread polls the files. The loaded objects are immutable and may be read by any thread.
 * When a file cannot be loaded, the previously loaded object stays in force and the state page
 * shows the error.
 *
 * <p>Polling runs from {@link #startPolling} until {@link #close}.
 *
 * <p>Logger {@code audit} records each change as a message {@code keys}, regardless of the file.
 * Its value {@code change} begins with {@code rights} (the policy), {@code tokens} (the keys that
 * verify tokens), {@code clients} (certificate authorities and revocation lists for client
 * certificates), {@code tls} (this dispatcher's certificates) or {@code hosts-tls} (certificate
 * authorities of endpoints), and continues with {@code taken anew} or {@code refused, the one
 * before stays in force} and the reason.
 */
final class AccessFiles implements Closeable {
    private static final Logger LOG = LoggerFactory.getLogger("audit");
    // A changed file is loaded by the first poll that finds it unchanged since the previous poll.
    // The same poll closes connections with a revoked certificate, so a revocation takes effect
    // within half a second.
    private static final long POLL_INTERVAL_MS = 200;
    // Open connections are also rechecked after this number of polls, because certificates expire
    // without a change of any file.
    private static final int POLLS_PER_EXPIRY_SWEEP = 5;

    private final List<WatchedFile<?>> watchedFiles = new ArrayList<>();
    private final Optional<WatchedFile<Policy>> policy;
    private final Optional<WatchedFile<KeySet>> keySet;
    private final Optional<WatchedFile<CertificateTrust>> clientTrust;
    private final Optional<WatchedFile<List<TlsContexts.TlsIdentity>>> identities;
    private final Optional<WatchedFile<CertificateTrust>> endpointTrust;
    private final MonotonicWallClock pollClock = new MonotonicWallClock();
    private volatile boolean closed;

    /**
     * Loads the files that the settings name.
     *
     * @throws IOException if a file cannot be loaded; the message states the reason
     */
    AccessFiles(AccessSettings access) throws IOException {
        policy =
                watch(
                        "rights",
                        toList(access.policyFile()),
                        previous ->
                                PolicyReader.parse(
                                        access.policyFile().toString(),
                                        Files.readString(access.policyFile())));
        keySet =
                watch(
                        "tokens",
                        toList(access.keySetFile()),
                        previous -> loadKeySet(access.keySetFile(), previous));
        clientTrust =
                watch(
                        "clients",
                        clientTrustFiles(access),
                        previous ->
                                CertificateTrust.load(
                                        access.clientAuthorities(),
                                        access.revocationLists(),
                                        access.deniedCertificates(),
                                        access.acceptStaleRevocations(),
                                        previous));
        identities =
                watch(
                        "tls",
                        certificateFiles(access),
                        previous -> TlsContexts.loadIdentities(access.certificates()));
        endpointTrust =
                watch(
                        "hosts-tls",
                        toList(access.endpointAuthorities()),
                        previous ->
                                CertificateTrust.load(
                                        access.endpointAuthorities(), List.of(), null, true, null));
    }

    private static KeySet loadKeySet(Path path, KeySet previous) throws Exception {
        KeySet next = KeySet.parse(Files.readString(path));
        return previous == null
                ? next
                : previous.validateReplacement(next, System.currentTimeMillis());
    }

    private static List<Path> clientTrustFiles(AccessSettings access) {
        if (access.clientAuthorities() == null) {
            return List.of();
        }
        List<Path> files = new ArrayList<>(access.revocationLists());
        files.add(access.clientAuthorities());
        files.addAll(toList(access.deniedCertificates()));
        return files;
    }

    private static List<Path> certificateFiles(AccessSettings access) {
        List<Path> files = new ArrayList<>();
        for (CertificatePair pair : access.certificates()) {
            files.add(pair.certificate());
            files.add(pair.key());
        }
        return files;
    }

    private static List<Path> toList(Path path) {
        return path == null ? List.of() : List.of(path);
    }

    private <T> Optional<WatchedFile<T>> watch(
            String name, List<Path> files, WatchedFile.Loader<T> loader) throws IOException {
        if (files.isEmpty()) {
            return Optional.empty();
        }
        WatchedFile<T> file =
                new WatchedFile<>(
                        name,
                        files,
                        loader,
                        text -> LOG.atWarn().addKeyValue("change", text).log("keys"));
        watchedFiles.add(file);
        return Optional.of(file);
    }

    // ---- Loaded state

    /** Returns the policy in force. Without a policy file, the policy denies every request. */
    Policy policy() {
        return policy.map(WatchedFile::get).orElse(Policy.DENY_ALL);
    }

    /** Returns the keys in force, or an empty value if the settings accept no tokens. */
    Optional<KeySet> keySet() {
        return keySet.map(WatchedFile::get);
    }

    /** Returns the trust for client certificates, or an empty value if none are requested. */
    Optional<CertificateTrust> clientTrust() {
        return clientTrust.map(WatchedFile::get);
    }

    /** Returns the TLS context of the client listener, or an empty value for plain connections. */
    Optional<SSLContext> serverTlsContext() {
        // Handshakes run on several threads, so they read the system clock and not a
        // MonotonicWallClock, which one thread owns. If the system clock is set back, an expired
        // certificate may be accepted again, as it would be after a restart.
        return identities.map(
                file ->
                        TlsContexts.serverContext(
                                file::get,
                                () -> clientTrust().orElse(null),
                                System::currentTimeMillis));
    }

    /**
     * Returns the TLS context for connections to endpoints, or an empty value for plain
     * connections.
     */
    Optional<SSLContext> upstreamTlsContext() {
        return endpointTrust.map(
                file ->
                        TlsContexts.clientContext(
                                identities.map(loaded -> loaded.get().get(0)).orElse(null),
                                file::get,
                                System::currentTimeMillis));
    }

    // ---- Polling

    /**
     * Starts the thread that polls the files and closes connections whose certificates are revoked
     * or have expired. Does nothing if the settings name no files.
     *
     * @param listener the listener whose connections are checked
     * @param name the prefix of the thread's name
     * @param onPoll runs on the polling thread after each poll
     */
    void startPolling(HttpListener listener, String name, Runnable onPoll) {
        if (watchedFiles.isEmpty()) {
            return;
        }
        Thread thread = new Thread(() -> pollLoop(listener, onPoll), name + "-file-poll");
        thread.setDaemon(true);
        thread.start();
    }

    private void pollLoop(HttpListener listener, Runnable onPoll) {
        int polls = 0;
        while (!closed) {
            boolean trustChanged = pollFiles();
            if (clientTrust.isPresent()
                    && (trustChanged || ++polls % POLLS_PER_EXPIRY_SWEEP == 0)) {
                CertificateTrust trust = clientTrust.get().get();
                long nowMs = pollClock.nowMs();
                listener.closeRevoked(chain -> trust.recheck(chain, nowMs).isPresent());
            }
            onPoll.run();
            try {
                Thread.sleep(POLL_INTERVAL_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private boolean pollFiles() {
        boolean trustChanged = false;
        for (WatchedFile<?> file : watchedFiles) {
            trustChanged |= file.poll() && clientTrust.filter(trust -> trust == file).isPresent();
        }
        return trustChanged;
    }

    /** Stops polling after the current poll. */
    @Override
    public void close() {
        closed = true;
    }

    /**
     * Appends the state page's lines: files that could not be loaded, stale revocation lists and
     * keys.
     */
    void appendState(StringBuilder page) {
        for (WatchedFile<?> file : watchedFiles) {
            if (file.lastError() != null) {
                page.append("refused ").append(file.lastError().replace('\n', ' ')).append('\n');
            }
        }
        clientTrust()
                .ifPresent(
                        trust ->
                                trust.staleCrlIssuers(System.currentTimeMillis())
                                        .forEach(
                                                issuer ->
                                                        page.append("stale-revocations ")
                                                                .append(issuer)
                                                                .append('\n')));
        keySet().ifPresent(keys -> keys.keys().forEach(key -> appendKey(page, key)));
    }

    private static void appendKey(StringBuilder page, KeySet.Key key) {
        page.append("key ").append(key.kid()).append(' ').append(key.state()).append('\n');
    }
}
