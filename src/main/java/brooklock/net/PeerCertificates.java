package brooklock.net;

import java.security.cert.Certificate;
import java.security.cert.X509Certificate;
import java.util.Arrays;
import javax.net.ssl.SSLPeerUnverifiedException;
import org.xnio.StreamConnection;
import org.xnio.ssl.SslConnection;

/** Reads the certificates with which the peer of a connection has authenticated itself. */
final class PeerCertificates {
    private PeerCertificates() {}

    /**
     * Returns the peer's certificate chain, starting with its own certificate; null if the peer
     * sent none or TLS is not used.
     */
    static X509Certificate[] of(StreamConnection channel) {
        if (!(channel instanceof SslConnection ssl) || ssl.getSslSession() == null) {
            return null;
        }
        try {
            Certificate[] chain = ssl.getSslSession().getPeerCertificates();
            return Arrays.copyOf(chain, chain.length, X509Certificate[].class);
        } catch (SSLPeerUnverifiedException e) {
            return null;
        }
    }
}
