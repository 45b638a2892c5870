/**
 * Who a caller is: tokens and the keys that sign them, certificates and their revocation, and the
 * files that all of this is read from while the program runs. What a caller may do is decided in
 * {@code brooklock.authorization}.
 *
 * <p>{@link brooklock.credentials.KeySet} and {@link brooklock.credentials.CertificateTrust} are
 * immutable; {@link brooklock.credentials.WatchedFile} replaces them whole. Each I/O thread owns a
 * {@link brooklock.credentials.TokenCache}; the threads of {@link
 * brooklock.credentials.VerificationExecutor} check signatures.
 */
package brooklock.credentials;
