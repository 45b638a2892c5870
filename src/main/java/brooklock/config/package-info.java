/**
 * The settings language: lines of words in the manner of classic daemons, read into a checked
 * model. Every mistake is told with file, line and what is wrong; nothing is used unless all of it
 * is right.
 */
package brooklock.config;
