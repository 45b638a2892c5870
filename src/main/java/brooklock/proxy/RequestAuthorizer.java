package brooklock.proxy;

import brooklock.authorization.AccessDecision;
import brooklock.authorization.PathValidator;
import brooklock.authorization.Policy;
import brooklock.authorization.PolicyReader;
import brooklock.authorization.Tenant;
import brooklock.config.Settings.AccessSettings;
import brooklock.credentials.CertificateTrust;
import brooklock.credentials.Certificates;
import brooklock.credentials.Identity;
import brooklock.credentials.InvalidCredentialException;
import brooklock.credentials.KeySet;
import brooklock.credentials.MonotonicWallClock;
import brooklock.credentials.TlsContexts;
import brooklock.credentials.TokenCache;
import brooklock.credentials.TokenVerifier;
import brooklock.credentials.VerificationExecutor;
import brooklock.credentials.WatchedFile;
import brooklock.http.Fields;
import brooklock.net.HttpExchange;
import brooklock.net.HttpListener;
import brooklock.net.IoLoop;
import java.io.IOException;
import java.nio.file.Files;
import java.security.SecureRandom;
import java.security.cert.X509Certificate;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import javax.net.ssl.SSLContext;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Who comes in: finds the caller, asks the policy, and keeps both up to date from their files. A
 * request holds the policy that was in force when it was taken, whole. What is turned away here is
 * never an event.
 */
final class RequestAuthorizer {
    private static final Logger LOG = LoggerFactory.getLogger("audit");
    // Time between two looks at the files, ms. A file is taken when it stood still between two, and
    // connections are
    // broken off right then: a revocation holds within half a second of its file's last change.
    private static final long FILE_POLL_INTERVAL_MS = 200;
    // Looks after which credentials that end by time alone are swept.
    private static final int POLLS_PER_EXPIRY_SWEEP = 5;

    /** What was found out; {@code status} 0 lets the request in. */
    record AuthorizationResult(
            Tenant tenant,
            String credentialLabel,
            AccessDecision decision,
            int status,
            String reason) {
        boolean isAllowed() {
            return status == 0;
        }
    }

    private final AccessSettings access;
    private final List<WatchedFile<?>> watchedFiles = new ArrayList<>();
    private final WatchedFile<Policy> policy;
    private final WatchedFile<KeySet> keyRing;
    private final WatchedFile<CertificateTrust> clientTrust;
    private final WatchedFile<List<TlsContexts.TlsIdentity>> serverCertificates;
    private final WatchedFile<CertificateTrust> hostTrust;
    private final TokenCache[] tokenCaches;
    private final MonotonicWallClock[] wallClocks;
    private final MonotonicWallClock pollClock = new MonotonicWallClock();
    private final DenialLog denialLog = new DenialLog(LOG);
    private final VerificationExecutor verificationExecutor;
    private volatile boolean closed;

    RequestAuthorizer(AccessSettings access, int loopCount) throws IOException {
        this.access = access;
        policy =
                watch(
                        "rights",
                        access.policyFile() == null ? List.of() : List.of(access.policyFile()),
                        before ->
                                PolicyReader.parse(
                                        access.policyFile().toString(),
                                        Files.readString(access.policyFile())));
        keyRing =
                watch(
                        "tokens",
                        access.keySetFile() == null ? List.of() : List.of(access.keySetFile()),
                        before -> {
                            KeySet next = KeySet.parse(Files.readString(access.keySetFile()));
                            return before == null
                                    ? next
                                    : before.validateReplacement(next, System.currentTimeMillis());
                        });
        List<java.nio.file.Path> trustFiles = new ArrayList<>(access.revocationLists());
        if (access.clientAuthorities() != null) {
            trustFiles.add(access.clientAuthorities());
        }
        if (access.deniedCertificates() != null) {
            trustFiles.add(access.deniedCertificates());
        }
        clientTrust =
                watch(
                        "clients",
                        access.clientAuthorities() == null ? List.of() : trustFiles,
                        before ->
                                CertificateTrust.load(
                                        access.clientAuthorities(),
                                        access.revocationLists(),
                                        access.deniedCertificates(),
                                        access.acceptStaleRevocations(),
                                        before));
        serverCertificates =
                watch(
                        "tls",
                        access.certificates().stream()
                                .flatMap(p -> java.util.stream.Stream.of(p.certificate(), p.key()))
                                .toList(),
                        before -> TlsContexts.loadIdentities(access.certificates()));
        hostTrust =
                watch(
                        "hosts-tls",
                        access.endpointAuthorities() == null
                                ? List.of()
                                : List.of(access.endpointAuthorities()),
                        before ->
                                CertificateTrust.load(
                                        access.endpointAuthorities(), List.of(), null, true, null));
        byte[] secret = new byte[32];
        new SecureRandom().nextBytes(secret);
        // As many as I/O threads: what they did themselves before.
        verificationExecutor = new VerificationExecutor("tokens", loopCount);
        tokenCaches = new TokenCache[loopCount];
        wallClocks = new MonotonicWallClock[loopCount];
        for (int i = 0; i < loopCount; i++) {
            tokenCaches[i] =
                    new TokenCache(
                            new TokenVerifier(
                                    access.issuer(), access.audience(), access.clockSkewMs()),
                            secret);
            wallClocks[i] = new MonotonicWallClock();
        }
    }

    private <T> WatchedFile<T> watch(
            String name, List<java.nio.file.Path> files, WatchedFile.Loader<T> reading)
            throws IOException {
        if (files.isEmpty()) {
            return null;
        }
        WatchedFile<T> file =
                new WatchedFile<>(
                        name,
                        files,
                        reading,
                        text -> LOG.atWarn().addKeyValue("change", text).log("keys"));
        watchedFiles.add(file);
        return file;
    }

    /** The context to listen with, or null where no certificate is given. */
    SSLContext serverTlsContext() {
        if (serverCertificates == null) {
            return null;
        }
        // Handshakes run on several threads; each has the system's clock, which may go back only as
        // far as a restart.
        return TlsContexts.serverContext(
                serverCertificates::get,
                () -> clientTrust == null ? null : clientTrust.get(),
                System::currentTimeMillis);
    }

    /** The context to speak to hosts with, or null for plain connections. */
    SSLContext upstreamTlsContext() {
        return hostTrust == null
                ? null
                : TlsContexts.clientContext(
                        serverCertificates == null ? null : serverCertificates.get().get(0),
                        hostTrust::get,
                        System::currentTimeMillis);
    }

    /**
     * Keeps looking at the files; breaks off connections of the listener whose certificates are
     * good no more.
     */
    void startFilePolling(HttpListener listener, String name) {
        if (watchedFiles.isEmpty()) {
            return;
        }
        Thread thread =
                new Thread(
                        () -> {
                            int polls = 0;
                            while (!closed) {
                                boolean trustChanged = false;
                                for (WatchedFile<?> file : watchedFiles) {
                                    trustChanged |= file.poll() && file == clientTrust;
                                }
                                if (clientTrust != null
                                        && (trustChanged
                                                || ++polls % POLLS_PER_EXPIRY_SWEEP == 0)) {
                                    CertificateTrust currentTrust = clientTrust.get();
                                    long nowMs = pollClock.nowMs();
                                    listener.closeRevoked(
                                            chain -> currentTrust.recheck(chain, nowMs) != null);
                                }
                                denialLog.flush();
                                try {
                                    Thread.sleep(FILE_POLL_INTERVAL_MS);
                                } catch (InterruptedException e) {
                                    return;
                                }
                            }
                        },
                        name + "-watch");
        thread.setDaemon(true);
        thread.start();
    }

    void close() {
        closed = true;
        verificationExecutor.shutdown();
    }

    /** The policy in force. */
    Policy policy() {
        return policy == null ? Policy.DENY_ALL : policy.get();
    }

    // ---- A request

    /**
     * Finds out whether a request may come in; tells it on the request's own thread, at once or a
     * little later.
     */
    void authorize(
            HttpExchange exchange, RouteTable.Match match, Consumer<AuthorizationResult> onResult) {
        authenticate(
                exchange,
                match,
                result -> {
                    if (!result.isAllowed()) {
                        denialLog.logDenial(
                                result,
                                exchange.head().method(),
                                exchange.head().target(),
                                exchange.peerAddress().getAddress().getHostAddress());
                    }
                    onResult.accept(result);
                });
    }

    private void authenticate(
            HttpExchange exchange, RouteTable.Match match, Consumer<AuthorizationResult> onResult) {
        String pathProblem = PathValidator.validate(exchange.head().target());
        if (pathProblem != null) {
            onResult.accept(
                    new AuthorizationResult(
                            null, "-", null, 400, "the path is not in form: " + pathProblem));
            return;
        }
        Policy currentPolicy = policy();
        long nowMs = wallClocks[exchange.loop().number()].nowMs();
        try {
            String token =
                    keyRing == null || match.needsCertificate()
                            ? null
                            : bearerToken(exchange.head().fields());
            if (token == null) {
                Identity caller = certificateIdentity(exchange, nowMs);
                onResult.accept(
                        caller == null
                                ? new AuthorizationResult(null, "-", null, 401, "no credential")
                                : applyPolicy(exchange, match, currentPolicy, caller, nowMs));
                return;
            }
            IoLoop loop = exchange.loop();
            tokenCaches[loop.number()].authenticate(
                    token,
                    keyRing.get(),
                    exchange.peerAddress().getAddress().getHostAddress(),
                    nowMs,
                    System.nanoTime(),
                    (verification, continuation) ->
                            verificationExecutor.trySubmit(
                                    () -> {
                                        verification.run();
                                        loop.execute(continuation);
                                    }),
                    new TokenCache.ResultListener() {
                        @Override
                        public void onValid(Identity caller) {
                            onResult.accept(
                                    applyPolicy(exchange, match, currentPolicy, caller, nowMs));
                        }

                        @Override
                        public void onInvalid(InvalidCredentialException why) {
                            onResult.accept(
                                    new AuthorizationResult(
                                            null, "-", null, 401, why.getMessage()));
                        }

                        @Override
                        public void onOverload() {
                            onResult.accept(
                                    new AuthorizationResult(
                                            null,
                                            "-",
                                            null,
                                            503,
                                            "too many new tokens wait to be checked"));
                        }
                    });
        } catch (InvalidCredentialException e) {
            onResult.accept(new AuthorizationResult(null, "-", null, 401, e.getMessage()));
        }
    }

    private static AuthorizationResult applyPolicy(
            HttpExchange exchange,
            RouteTable.Match match,
            Policy currentPolicy,
            Identity caller,
            long nowMs) {
        Tenant tenant = caller.resolveTenant(currentPolicy);
        if (tenant == null) {
            return new AuthorizationResult(
                    null, caller.label(), null, 403, "the caller is of no tenant");
        }
        String target = exchange.head().target();
        int queryStart = target.indexOf('?');
        AccessDecision decision =
                currentPolicy.decide(
                        tenant.name(),
                        exchange.head().method(),
                        queryStart < 0 ? target : target.substring(0, queryStart),
                        match.requestClass().name(),
                        nowMs);
        return new AuthorizationResult(
                tenant, caller.label(), decision, decision.allowed() ? 0 : 403, decision.explain());
    }

    private Identity certificateIdentity(HttpExchange exchange, long nowMs)
            throws InvalidCredentialException {
        X509Certificate[] chain = clientTrust == null ? null : exchange.certificates();
        if (chain == null) {
            return null;
        }
        // Each request anew, so that neither an open connection nor a resumed session outlives a
        // revocation.
        String problem = clientTrust.get().recheck(chain, nowMs);
        if (problem != null) {
            throw new InvalidCredentialException(problem);
        }
        return Certificates.identityOf(chain);
    }

    private String bearerToken(Fields fields) throws InvalidCredentialException {
        if (fields.count("Authorization") > 1) {
            throw new InvalidCredentialException("more than one Authorization");
        }
        String authorization = fields.get("Authorization");
        if (authorization != null && authorization.regionMatches(true, 0, "Bearer ", 0, 7)) {
            return authorization.substring(7).trim();
        }
        if (authorization != null) {
            throw new InvalidCredentialException(
                    "a scheme of authorization that is not known here");
        }
        return access.cookie() == null
                ? null
                : cookieValue(fields.combinedValue("Cookie"), access.cookie());
    }

    private static String cookieValue(String cookies, String name)
            throws InvalidCredentialException {
        String found = null;
        for (String pair : cookies == null ? new String[0] : cookies.split("[;,]")) {
            String trimmed = pair.trim();
            if (trimmed.startsWith(name + "=")) {
                if (found != null) {
                    throw new InvalidCredentialException("the cookie stands there twice");
                }
                found = trimmed.substring(name.length() + 1);
            }
        }
        return found;
    }

    /** What operators should know: files that are refused, lists past their time. */
    void appendState(StringBuilder page) {
        for (WatchedFile<?> file : watchedFiles) {
            if (file.lastError() != null) {
                page.append("refused ").append(file.lastError().replace('\n', ' ')).append('\n');
            }
        }
        if (clientTrust != null) {
            clientTrust
                    .get()
                    .staleCrlIssuers(System.currentTimeMillis())
                    .forEach(i -> page.append("stale-revocations ").append(i).append('\n'));
        }
        if (keyRing != null) {
            keyRing.get()
                    .keys()
                    .forEach(
                            k ->
                                    page.append("key ")
                                            .append(k.kid())
                                            .append(' ')
                                            .append(k.state())
                                            .append('\n'));
        }
        page.append("token-checks-waiting ").append(verificationExecutor.queued()).append('\n');
        page.append("denied ").append(denialLog.total()).append('\n');
    }
}
