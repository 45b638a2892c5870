package brooklock.credentials;

import brooklock.credentials.TlsContexts.TlsIdentity;
import java.net.Socket;
import java.security.Principal;
import java.security.PrivateKey;
import java.security.cert.X509Certificate;
import java.util.List;
import java.util.Locale;
import java.util.function.Supplier;
import javax.net.ssl.ExtendedSSLSession;
import javax.net.ssl.SNIHostName;
import javax.net.ssl.SNIServerName;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.SSLSession;
import javax.net.ssl.X509ExtendedKeyManager;

/**
 * Presents the identities that are in force at each handshake. The alias of an identity is the
 * fingerprint of its certificate, so that a reload between the choice of an alias and the look-up
 * of its key yields the chosen identity or none, but never the key of a different identity.
 * Thread-safe.
 */
final class ReloadingKeyManager extends X509ExtendedKeyManager {
    // The key type that the JDK passes in TLS 1.3, where a key of any type is acceptable.
    private static final String ANY_KEY_TYPE = "UNKNOWN";

    private final Supplier<List<TlsIdentity>> identities;

    ReloadingKeyManager(Supplier<List<TlsIdentity>> identities) {
        this.identities = identities;
    }

    /**
     * Chooses among the identities with a key of the given type. Returns the alias of the first
     * that matches the requested server name, or of the first of all if no identity matches; null
     * if there is no identity with such a key.
     */
    private String chooseAlias(String keyType, SSLSession session) {
        String serverName = requestedServerName(session);
        TlsIdentity firstOfKeyType = null;
        for (TlsIdentity identity : identities.get()) {
            if (!keyType.startsWith(identity.key().getAlgorithm())
                    && !keyType.equals(ANY_KEY_TYPE)) {
                continue;
            }
            firstOfKeyType = firstOfKeyType == null ? identity : firstOfKeyType;
            if (serverName != null && identity.matchesHost(serverName)) {
                return alias(identity);
            }
        }
        return firstOfKeyType == null ? null : alias(firstOfKeyType);
    }

    private static String requestedServerName(SSLSession session) {
        String serverName = null;
        if (session instanceof ExtendedSSLSession extended) {
            for (SNIServerName name : extended.getRequestedServerNames()) {
                if (name instanceof SNIHostName host) {
                    serverName = host.getAsciiName().toLowerCase(Locale.ROOT);
                }
            }
        }
        return serverName;
    }

    private static String alias(TlsIdentity identity) {
        return CertificateTrust.fingerprint(identity.chain()[0]);
    }

    private TlsIdentity findByAlias(String alias) {
        for (TlsIdentity identity : identities.get()) {
            if (alias(identity).equals(alias)) {
                return identity;
            }
        }
        return null;
    }

    @Override
    public String chooseEngineServerAlias(String keyType, Principal[] issuers, SSLEngine engine) {
        return chooseAlias(keyType, engine.getHandshakeSession());
    }

    @Override
    public String chooseEngineClientAlias(
            String[] keyTypes, Principal[] issuers, SSLEngine engine) {
        for (String keyType : keyTypes) {
            String alias = chooseAlias(keyType, null);
            if (alias != null) {
                return alias;
            }
        }
        return null;
    }

    @Override
    public String chooseServerAlias(String keyType, Principal[] issuers, Socket socket) {
        return chooseAlias(keyType, null);
    }

    @Override
    public String chooseClientAlias(String[] keyTypes, Principal[] issuers, Socket socket) {
        return chooseEngineClientAlias(keyTypes, issuers, null);
    }

    @Override
    public String[] getClientAliases(String keyType, Principal[] issuers) {
        return null;
    }

    @Override
    public String[] getServerAliases(String keyType, Principal[] issuers) {
        return null;
    }

    @Override
    public X509Certificate[] getCertificateChain(String alias) {
        TlsIdentity identity = findByAlias(alias);
        return identity == null ? null : identity.chain();
    }

    @Override
    public PrivateKey getPrivateKey(String alias) {
        TlsIdentity identity = findByAlias(alias);
        return identity == null ? null : identity.key();
    }
}
