/**
 * Authentication of callers by signed tokens and by client certificates, and the key sets,
 * certificates and revocation lists that it depends on. What an authenticated caller may do is
 * decided in {@code brooklock.authorization}.
 *
 * <p>{@link brooklock.credentials.KeySet} and {@link brooklock.credentials.CertificateTrust} are
 * immutable; {@link brooklock.credentials.WatchedFile} replaces them as a whole when their files
 * change. Each I/O thread owns a {@link brooklock.credentials.TokenCache}; the threads of {@link
 * brooklock.credentials.VerificationExecutor} verify signatures.
 */
package brooklock.credentials;
