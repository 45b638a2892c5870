package brooklock.net;

import java.security.cert.Certificate;
import java.security.cert.X509Certificate;
import java.util.Arrays;
import javax.net.ssl.SSLPeerUnverifiedException;
import org.xnio.StreamConnection;
import org.xnio.ssl.SslConnection;

/** The certificates that the peer of a connection has proven to hold. */
final class PeerCertificates {
    private PeerCertificates() {}

    /** The peer's chain, its own certificate first; null where it sent none or TLS is not used. */
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
