/**
 * The settings language: lines of words are read into an immutable, validated {@link
 * brooklock.config.Settings}. Reading is all or nothing; every mistake of a file is reported at
 * once, each with its line ({@link brooklock.config.SettingsException}).
 *
 * <p>Apart from {@link brooklock.config.SettingsReader#read} nothing here touches files, sockets or
 * the clock. Readers are used once, by one thread.
 */
package brooklock.config;
