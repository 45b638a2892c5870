package brooklock.proxy;

import brooklock.authorization.AccessDecision;
import brooklock.authorization.PathValidator;
import brooklock.authorization.PathViolation;
import brooklock.authorization.Policy;
import brooklock.authorization.Tenant;
import brooklock.config.Settings.AccessSettings;
import brooklock.credentials.CertificateRejection;
import brooklock.credentials.CertificateTrust;
import brooklock.credentials.Certificates;
import brooklock.credentials.Identity;
import brooklock.credentials.InvalidCredentialException;
import brooklock.credentials.KeySet;
import brooklock.credentials.MonotonicWallClock;
import brooklock.credentials.TokenCache;
import brooklock.credentials.TokenVerifier;
import brooklock.credentials.VerificationExecutor;
import brooklock.http.RequestHead;
import brooklock.net.HttpExchange;
import brooklock.net.IoLoop;
import brooklock.proxy.AuthorizationResult.Authorized;
import brooklock.proxy.AuthorizationResult.Denied;
import java.io.Closeable;
import java.security.SecureRandom;
import java.security.cert.X509Certificate;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.LoggerFactory;

/**
 * Authenticates the caller of a request and checks whether the policy allows the request.
 *
 * <p>A request is checked against the policy that was in force when its head arrived, even if its
 * token is verified on another thread and the policy changes meanwhile. A denied request never
 * reaches the router. Each I/O thread has its own token cache and clock, so that neither needs a
 * lock.
 */
final class RequestAuthorizer implements Closeable {
    private static final int TOKEN_CACHE_SECRET_BYTES = 32;

    private final AccessFiles files;
    private final BearerTokenReader tokenReader;
    private final TokenCache[] tokenCacheByLoop;
    private final MonotonicWallClock[] clockByLoop;
    private final VerificationExecutor verificationExecutor;
    private final DenialLog denialLog = new DenialLog(LoggerFactory.getLogger("audit"));

    /**
     * Creates a new authorizer.
     *
     * @param loopCount the number of I/O threads, which is also the number of threads that verify
     *     signatures
     */
    RequestAuthorizer(AccessSettings access, AccessFiles files, int loopCount) {
        this.files = files;
        tokenReader = new BearerTokenReader(Optional.ofNullable(access.cookie()));
        byte[] secret = new byte[TOKEN_CACHE_SECRET_BYTES];
        new SecureRandom().nextBytes(secret);
        verificationExecutor = new VerificationExecutor("tokens", loopCount);
        tokenCacheByLoop = new TokenCache[loopCount];
        clockByLoop = new MonotonicWallClock[loopCount];
        for (int i = 0; i < loopCount; i++) {
            TokenVerifier verifier =
                    new TokenVerifier(access.issuer(), access.audience(), access.clockSkewMs());
            tokenCacheByLoop[i] = new TokenCache(verifier, secret);
            clockByLoop[i] = new MonotonicWallClock();
        }
    }

    /** Returns the policy in force. */
    Policy policy() {
        return files.policy();
    }

    /** Writes the number of denials that were not logged since the last flush to the audit log. */
    void flushDenialLog() {
        denialLog.flush();
    }

    /** Stops the threads that verify tokens. */
    @Override
    public void close() {
        verificationExecutor.shutdown();
    }

    /**
     * Authorizes a request. Must be called on the request's I/O thread.
     *
     * @param onResult receives the result on the same thread, either before this method returns or
     *     after the token is verified
     */
    void authorize(
            HttpExchange exchange, RouteTable.Match match, Consumer<AuthorizationResult> onResult) {
        authenticate(
                exchange,
                match,
                result -> {
                    if (result instanceof Denied denied) {
                        denialLog.logDenial(denied, exchange.head(), exchange.peerAddress());
                    }
                    onResult.accept(result);
                });
    }

    private void authenticate(
            HttpExchange exchange, RouteTable.Match match, Consumer<AuthorizationResult> onResult) {
        Optional<PathViolation> violation = PathValidator.validate(exchange.head().target());
        if (violation.isPresent()) {
            onResult.accept(Denied.malformedPath(violation.get().message()));
            return;
        }
        long nowMs = clockByLoop[exchange.loop().number()].nowMs();
        PolicyCheck check = new PolicyCheck(files.policy(), exchange.head(), match, nowMs);
        try {
            Optional<KeySet> keys = match.needsCertificate() ? Optional.empty() : files.keySet();
            Optional<String> token =
                    keys.isPresent()
                            ? tokenReader.read(exchange.head().fields())
                            : Optional.empty();
            if (token.isPresent()) {
                verifyToken(exchange, token.get(), keys.get(), check, onResult);
            } else {
                onResult.accept(
                        authenticateByCertificate(exchange, nowMs)
                                .map(check::apply)
                                .orElseGet(() -> Denied.unauthenticated("received no credential")));
            }
        } catch (InvalidCredentialException e) {
            onResult.accept(Denied.unauthenticated(e.getMessage()));
        }
    }

    private void verifyToken(
            HttpExchange exchange,
            String token,
            KeySet keys,
            PolicyCheck check,
            Consumer<AuthorizationResult> onResult) {
        IoLoop loop = exchange.loop();
        tokenCacheByLoop[loop.number()].authenticate(
                token,
                keys,
                exchange.peerAddress().getAddress().getHostAddress(),
                check.nowMs(),
                System.nanoTime(),
                (verification, completion) ->
                        verificationExecutor.trySubmit(
                                () -> {
                                    verification.run();
                                    loop.execute(completion);
                                }),
                new TokenCache.ResultListener() {
                    @Override
                    public void onValid(Identity caller) {
                        onResult.accept(check.apply(caller));
                    }

                    @Override
                    public void onInvalid(InvalidCredentialException reason) {
                        onResult.accept(Denied.unauthenticated(reason.getMessage()));
                    }

                    @Override
                    public void onOverload() {
                        onResult.accept(Denied.verificationOverload());
                    }
                });
    }

    // The certificate is checked for each request. Otherwise an open connection or a resumed TLS
    // session would remain authorized after a revocation.
    private Optional<Identity> authenticateByCertificate(HttpExchange exchange, long nowMs)
            throws InvalidCredentialException {
        Optional<CertificateTrust> trust = files.clientTrust();
        X509Certificate[] chain = trust.isPresent() ? exchange.certificates() : null;
        if (chain == null) {
            return Optional.empty();
        }
        Optional<CertificateRejection> rejection = trust.get().recheck(chain, nowMs);
        if (rejection.isPresent()) {
            throw new InvalidCredentialException(rejection.get().message());
        }
        return Optional.of(Certificates.identityOf(chain));
    }

    /** The check of one request against the policy, applied once the caller is authenticated. */
    private record PolicyCheck(
            Policy policy, RequestHead head, RouteTable.Match match, long nowMs) {

        AuthorizationResult apply(Identity caller) {
            Optional<Tenant> tenant = caller.resolveTenant(policy);
            if (tenant.isEmpty()) {
                return Denied.forbidden("the caller maps to no tenant", caller.label(), tenant);
            }
            String target = head.target();
            int queryStart = target.indexOf('?');
            AccessDecision decision =
                    policy.decide(
                            tenant.get().name(),
                            head.method(),
                            queryStart < 0 ? target : target.substring(0, queryStart),
                            match.requestClass().name(),
                            nowMs);
            return decision.allowed()
                    ? new Authorized(tenant.get(), decision.line())
                    : Denied.forbidden(decision.explain(), caller.label(), tenant);
        }
    }

    /** Appends the authorization lines to the state page. Thread-safe. */
    void appendState(StringBuilder page) {
        files.appendState(page);
        page.append("token-checks-waiting ").append(verificationExecutor.queueSize()).append('\n');
        page.append("denied ").append(denialLog.total()).append('\n');
    }
}
