package brooklock.authorization;

import java.util.Optional;

/** The kinds of names by which a credential identifies its holder. */
public enum NameKind {
    /** The name and value of a claim of a token. */
    CLAIM("claim"),
    /** A subject alternative name of a certificate. */
    SAN("san"),
    /** The subject of a certificate. */
    SUBJECT("subject");

    private final String word;

    NameKind(String word) {
        this.word = word;
    }

    /** Returns the word for this kind in policy files and in the output of {@code keys explain}. */
    public String word() {
        return word;
    }

    static Optional<NameKind> ofWord(String word) {
        for (NameKind kind : values()) {
            if (kind.word.equals(word)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }
}
