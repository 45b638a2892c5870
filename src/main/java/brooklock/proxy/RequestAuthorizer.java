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
 * Finds out who sends a request and whether the policy allows it.
 *
 * <p>A request is judged by one policy, the one in force when its head had arrived, also where its
 * token is verified on another thread meanwhile. One that is denied never becomes an event for the
 * router. Each I/O thread has a token cache and a clock of its own, so that none needs a lock.
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
     * Makes an authorizer.
     *
     * @param loopCount I/O threads; as many threads verify signatures
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

    /** Writes the audit log's count of what it left out. */
    void flushDenialLog() {
        denialLog.flush();
    }

    /** Stops verifying tokens. */
    @Override
    public void close() {
        verificationExecutor.shutdown();
    }

    /**
     * Authorizes a request; on its I/O thread.
     *
     * @param onResult gets the result on the same thread, at once or after its token is verified
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
                        certificateIdentity(exchange, nowMs)
                                .map(check::apply)
                                .orElseGet(() -> Denied.unauthenticated("no credential")));
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

    // Checked for each request: neither an open connection nor a resumed session may outlive a
    // revocation.
    private Optional<Identity> certificateIdentity(HttpExchange exchange, long nowMs)
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

    /** The check against the policy, made once the caller is known. */
    private record PolicyCheck(
            Policy policy, RequestHead head, RouteTable.Match match, long nowMs) {

        AuthorizationResult apply(Identity caller) {
            Optional<Tenant> tenant = caller.resolveTenant(policy);
            if (tenant.isEmpty()) {
                return Denied.forbidden("the caller is of no tenant", caller.label(), tenant);
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

    /** Appends the lines of the state page. */
    void appendState(StringBuilder page) {
        files.appendState(page);
        page.append("token-checks-waiting ").append(verificationExecutor.queueSize()).append('\n');
        page.append("denied ").append(denialLog.total()).append('\n');
    }
}
