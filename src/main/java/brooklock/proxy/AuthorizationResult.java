package brooklock.proxy;

import brooklock.authorization.Tenant;
import java.util.Optional;

/** Whether a request may come in. */
sealed interface AuthorizationResult {

    /**
     * It may.
     *
     * @param tenant whose request it is
     * @param policyLine the line of the policy that allows it, for the access log
     */
    record Authorized(Tenant tenant, int policyLine) implements AuthorizationResult {}

    /**
     * It may not.
     *
     * @param response what the client gets
     * @param publicDetail what the client learns beyond it, or an empty string
     * @param auditReason why, for the audit log; the client does not get it, so that a guesser
     *     learns nothing of the policy
     * @param credentialLabel which credential it was, without the credential; "-" for none
     * @param tenant whose request it is, where that is known
     */
    record Denied(
            ErrorResponse response,
            String publicDetail,
            String auditReason,
            String credentialLabel,
            Optional<Tenant> tenant)
            implements AuthorizationResult {
        private static final String NO_LABEL = "-";

        /** Denies a path that caches and origins might read in another way than the policy. */
        static Denied malformedPath(String problem) {
            ErrorResponse response = ErrorResponse.MALFORMED_PATH;
            return new Denied(
                    response, problem, response.text() + problem, NO_LABEL, Optional.empty());
        }

        /** Denies a caller without a credential, or with an invalid one. */
        static Denied unauthenticated(String auditReason) {
            return new Denied(
                    ErrorResponse.UNAUTHENTICATED, "", auditReason, NO_LABEL, Optional.empty());
        }

        /** Denies a caller whose token can't be verified now; a retry is harmless. */
        static Denied verificationOverload() {
            ErrorResponse response = ErrorResponse.TOKEN_VERIFICATION_LIMIT;
            return new Denied(response, "", response.text(), NO_LABEL, Optional.empty());
        }

        /** Denies a known caller what the policy does not allow. */
        static Denied forbidden(
                String auditReason, String credentialLabel, Optional<Tenant> tenant) {
            return new Denied(ErrorResponse.FORBIDDEN, "", auditReason, credentialLabel, tenant);
        }
    }
}
