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

/** Where log lines go. All are JSON, one a line. */
final class Logs {
    // Lines that may wait for the disk; above it lines of answers are dropped, never answers
    // delayed.
    private static final int WAITING = 16_384;

    private Logs() {}

    /** Sends the lines of answers to a file. */
    static void answersTo(Path path) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        JsonEncoder json = new JsonEncoder();
        json.setContext(context);
        json.setWithSequenceNumber(false);
        json.setWithNanoseconds(false);
        json.setWithThreadName(false);
        json.setWithContext(false);
        json.setWithMDC(false);
        json.setWithArguments(false);
        json.setWithLevel(false);
        json.start();
        FileAppender<ILoggingEvent> file = new FileAppender<>();
        file.setContext(context);
        file.setFile(path.toString());
        file.setEncoder(json);
        file.setImmediateFlush(false);
        file.start();
        AsyncAppender queue = new AsyncAppender();
        queue.setContext(context);
        queue.setQueueSize(WAITING);
        queue.setNeverBlock(true);
        queue.setDiscardingThreshold(0);
        queue.addAppender(file);
        queue.start();
        Logger answers = context.getLogger("answers");
        answers.setLevel(Level.INFO);
        answers.addAppender(queue);
    }

    /** Writes out what waits. */
    static void end() {
        ((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
    }
}
