package brooklock.credentials;

import brooklock.credentials.CertificateRejection.Reason;
import java.net.Socket;
import java.security.cert.CertificateException;
import java.security.cert.X509Certificate;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.X509ExtendedTrustManager;

/**
 * Validates certificate chains against the trust settings that are in force at each handshake.
 * Thread-safe.
 */
final class ReloadingTrustManager extends X509ExtendedTrustManager {
    private final Supplier<CertificateTrust> trust;
    private final LongSupplier wallMs;

    /**
     * Creates a new manager.
     *
     * @param trust supplies the trust settings in force; supplies null if no certificates are
     *     accepted
     * @param wallMs supplies the wall time, in ms since 1970
     */
    ReloadingTrustManager(Supplier<CertificateTrust> trust, LongSupplier wallMs) {
        this.trust = trust;
        this.wallMs = wallMs;
    }

    private void checkTrusted(X509Certificate[] chain, boolean clientChain)
            throws CertificateException {
        Optional<CertificateRejection> rejection = validate(chain, clientChain);
        if (rejection.isPresent()) {
            throw new CertificateException(rejection.get().message());
        }
    }

    private Optional<CertificateRejection> validate(X509Certificate[] chain, boolean clientChain) {
        CertificateTrust current = trust.get();
        if (current == null) {
            return CertificateRejection.of(Reason.NOT_ACCEPTED);
        }
        return clientChain
                ? current.validateClient(chain, wallMs.getAsLong())
                : current.validateServer(chain, wallMs.getAsLong());
    }

    @Override
    public void checkClientTrusted(X509Certificate[] chain, String authType)
            throws CertificateException {
        checkTrusted(chain, true);
    }

    @Override
    public void checkClientTrusted(X509Certificate[] chain, String authType, Socket socket)
            throws CertificateException {
        checkTrusted(chain, true);
    }

    @Override
    public void checkClientTrusted(X509Certificate[] chain, String authType, SSLEngine engine)
            throws CertificateException {
        checkTrusted(chain, true);
    }

    @Override
    public void checkServerTrusted(X509Certificate[] chain, String authType)
            throws CertificateException {
        checkTrusted(chain, false);
    }

    @Override
    public void checkServerTrusted(X509Certificate[] chain, String authType, Socket socket)
            throws CertificateException {
        checkTrusted(chain, false);
    }

    @Override
    public void checkServerTrusted(X509Certificate[] chain, String authType, SSLEngine engine)
            throws CertificateException {
        checkTrusted(chain, false);
    }

    @Override
    public X509Certificate[] getAcceptedIssuers() {
        CertificateTrust current = trust.get();
        return current == null ? new X509Certificate[0] : current.authorities();
    }
}
