package brooklock.proxy;

import brooklock.authorization.Tenant;
import java.util.Optional;

/** The result of authorizing a request. Immutable. */
sealed interface AuthorizationResult {

    /**
     * The policy allows the request.
     *
     * @param tenant the tenant that sent the request
     * @param policyLine the number of the policy line that allows the request, for the access log
     */
    record Authorized(Tenant tenant, int policyLine) implements AuthorizationResult {}

    /**
     * The request is denied.
     *
     * @param response the response to the client
     * @param publicDetail the text that follows the response's own text in the body, or an empty
     *     string
     * @param auditReason the reason for the audit log. It is not sent to the client, because a
     *     caller that guesses credentials or paths would learn about the policy from it
     * @param credentialLabel identifies the credential without revealing it; "-" for no credential
     * @param tenant the tenant that sent the request, if it is known
     */
    record Denied(
            ErrorResponse response,
            String publicDetail,
            String auditReason,
            String credentialLabel,
            Optional<Tenant> tenant)
            implements AuthorizationResult {
        private static final String NO_LABEL = "-";

        /**
         * Returns the denial of a request whose path caches or origins might interpret differently
         * from the policy.
         */
        static Denied malformedPath(String problem) {
            ErrorResponse response = ErrorResponse.MALFORMED_PATH;
            return new Denied(
                    response, problem, response.text() + problem, NO_LABEL, Optional.empty());
        }

        /** Returns the denial of a caller whose credential is missing or invalid. */
        static Denied unauthenticated(String auditReason) {
            return new Denied(
                    ErrorResponse.UNAUTHENTICATED, "", auditReason, NO_LABEL, Optional.empty());
        }

        /**
         * Returns the denial of a caller whose token cannot be verified now. A retry is harmless.
         */
        static Denied verificationOverload() {
            ErrorResponse response = ErrorResponse.TOKEN_VERIFICATION_LIMIT;
            return new Denied(response, "", response.text(), NO_LABEL, Optional.empty());
        }

        /**
         * Returns the denial of a request whose caller is authenticated but not allowed by the
         * policy to make it.
         */
        static Denied forbidden(
                String auditReason, String credentialLabel, Optional<Tenant> tenant) {
            return new Denied(ErrorResponse.FORBIDDEN, "", auditReason, credentialLabel, tenant);
        }
    }
}
