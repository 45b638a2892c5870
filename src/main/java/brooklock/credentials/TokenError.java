package brooklock.credentials;

/**
 * The reasons for rejecting a token, with their messages for the audit log. A message never
 * includes any part of the token.
 */
public enum TokenError {
    /** The token exceeds {@link TokenVerifier#MAX_TOKEN_CHARS}. */
    TOO_LONG("the token is longer than " + TokenVerifier.MAX_TOKEN_CHARS + " characters"),
    /** The token does not have the syntax of a signed token. */
    MALFORMED("the token does not consist of three base64url parts separated by dots"),
    /** The header is not a JSON object, or does not name a signature algorithm. */
    MALFORMED_HEADER("the token's header is not a JSON object that names a signature algorithm"),
    /** The header lists critical extensions, none of which is supported. */
    UNKNOWN_EXTENSION("the token requires a critical extension, which is not supported"),
    /** The content type declares that the payload is itself a token. */
    NESTED("the token contains a nested token, which is not supported"),
    /** The header names no key, or a key that is not in the key set. */
    UNKNOWN_KEY("the token's key id is missing or not in the key set"),
    /** The algorithm in the header is not the algorithm that the key is bound to. */
    WRONG_ALGORITHM("the token's algorithm is not the one that its key is bound to"),
    /** The key is retired or has expired. */
    RETIRED_KEY("the token's key is retired or has expired"),
    /** The payload is not a JSON object. */
    MALFORMED_CLAIMS("the token's payload is not a JSON object with claims"),
    /** The claim {@code exp} is missing or not a number. */
    NO_EXPIRY("the token has no numeric expiry time"),
    /** The token has expired. */
    EXPIRED("the token has expired"),
    /** The claim {@code nbf} is in the future or not a number. */
    NOT_YET_VALID("the token is not valid yet, or its start of validity is not a number"),
    /** The claim {@code iss} is not the configured issuer. */
    WRONG_ISSUER("the token's issuer is not the configured one"),
    /** The claim {@code aud} does not include the configured audience. */
    WRONG_AUDIENCE("the token's audience does not include the configured one"),
    /** The signature does not match. */
    WRONG_SIGNATURE("the token's signature does not match"),
    /** The signature could not be verified because of an error. */
    UNVERIFIABLE_SIGNATURE("the token's signature could not be verified"),
    /** The client's address has sent too many tokens with invalid signatures. */
    TOO_MANY_INVALID("too many tokens with invalid signatures from this address");

    private final String message;

    TokenError(String message) {
        this.message = message;
    }

    /** Returns the message for the audit log. */
    public String message() {
        return message;
    }
}
