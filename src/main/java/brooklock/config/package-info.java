/**
 * The reader of the settings language, which turns lines of words into an immutable, validated
 * {@link brooklock.config.Settings}. A file is accepted only as a whole; otherwise all its mistakes
 * are reported at once, each with its line ({@link brooklock.config.SettingsException}).
 *
 * <p>Apart from {@link brooklock.config.SettingsReader#read} and {@link
 * brooklock.config.AtomicFile} nothing here accesses files, sockets or the clock. A reader instance
 * reads one text on one thread.
 */
package brooklock.config;
