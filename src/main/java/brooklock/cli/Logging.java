package brooklock.cli;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.FileAppender;
import java.nio.file.Path;
import org.slf4j.LoggerFactory;

/** Configures the logging of a dispatcher process. Every log line is one JSON object. */
final class Logging {
    /**
     * Limit on lines that wait to be written. Further lines are dropped, so that a slow disk does
     * not delay responses.
     */
    private static final int MAX_QUEUED_LINES = 16_384;

    private Logging() {}

    /**
     * Writes the access log (the logger "answers") to a file. A background thread writes it, so
     * that the logging threads do not wait for the disk.
     */
    static void logAccessTo(Path path) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.setWithSequenceNumber(false);
        encoder.setWithNanoseconds(false);
        encoder.setWithThreadName(false);
        encoder.setWithContext(false);
        encoder.setWithMDC(false);
        encoder.setWithArguments(false);
        encoder.setWithLevel(false);
        encoder.start();
        FileAppender<ILoggingEvent> appender = new FileAppender<>();
        appender.setContext(context);
        appender.setFile(path.toString());
        appender.setEncoder(encoder);
        appender.setImmediateFlush(false);
        appender.start();
        AsyncAppender queue = new AsyncAppender();
        queue.setContext(context);
        queue.setQueueSize(MAX_QUEUED_LINES);
        queue.setNeverBlock(true);
        queue.setDiscardingThreshold(0);
        queue.addAppender(appender);
        queue.start();
        Logger accessLogger = context.getLogger("answers");
        accessLogger.setLevel(Level.INFO);
        accessLogger.addAppender(queue);
    }

    /** Flushes queued lines and stops logging. */
    static void shutDown() {
        ((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
    }
}
