package brooklock.credentials;

/**
 * Why a token is invalid, with the words of the audit log. Nothing of the token itself is in them.
 */
public enum TokenError {
    /** It exceeds {@link TokenVerifier#MAX_TOKEN_CHARS}. */
    TOO_LONG("the token is longer than " + TokenVerifier.MAX_TOKEN_CHARS + " characters"),
    /** It does not have the form of a signed token. */
    MALFORMED("the token is not three parts in base64url"),
    /** Its header is no JSON object, or names no signature algorithm. */
    MALFORMED_HEADER("the token's header cannot be read, or says that it is not signed"),
    /** Its header names critical extensions. */
    UNKNOWN_EXTENSION("the token asks for an extension that is not known here"),
    /** Its content type says that its payload is a token. */
    NESTED("the token holds another token"),
    /** Its key is not in the key set. */
    UNKNOWN_KEY("the token names no key that is known here"),
    /** Its header names another algorithm than the key is bound to. */
    WRONG_ALGORITHM("the token's algorithm is not its key's"),
    /** Its key is no longer accepted. */
    RETIRED_KEY("the token's key has been retired"),
    /** Its payload is no JSON object. */
    MALFORMED_CLAIMS("the token's claims cannot be read"),
    /** It has no expiry. */
    NO_EXPIRY("the token never ends"),
    /** It has expired. */
    EXPIRED("the token has ended"),
    /** It is not valid yet. */
    NOT_YET_VALID("the token does not hold yet"),
    /** Its issuer is not the configured one. */
    WRONG_ISSUER("the token is of another issuer"),
    /** Its audience does not include the configured one. */
    WRONG_AUDIENCE("the token is for another audience"),
    /** Its signature does not match. */
    WRONG_SIGNATURE("the token's signature is wrong"),
    /** Its signature cannot be checked. */
    UNVERIFIABLE_SIGNATURE("the token's signature cannot be checked"),
    /** Its sender's address has sent too many tokens with wrong signatures. */
    TOO_MANY_INVALID("too many bad tokens from this address");

    private final String words;

    TokenError(String words) {
        this.words = words;
    }

    /** The reason in words. */
    public String words() {
        return words;
    }
}
