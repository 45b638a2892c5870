package brooklock.platform;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ConfiguratorRank;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;
import org.slf4j.Logger;

/**
 * Sets up the log of a dispatcher on the platform: the JSON lines that the other programs write, on
 * standard error. It reads no XML, which would lengthen each start. The system property {@code
 * brooklock.log} sets the level, {@code INFO} if absent. The logging library finds it by {@code
 * META-INF/services}; in other programs it does nothing, and {@code logback.xml} applies.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
public final class PlatformLogging extends ContextAwareBase implements Configurator {
    private static volatile boolean enabled;

    /** Called by the logging library. */
    public PlatformLogging() {}

    /** Makes this set-up apply; to be called before the first logger is made. */
    static void enable() {
        enabled = true;
    }

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        if (!enabled) {
            return ExecutionStatus.INVOKE_NEXT_IF_ANY;
        }
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.setWithSequenceNumber(false);
        encoder.setWithNanoseconds(false);
        encoder.setWithContext(false);
        encoder.setWithMDC(false);
        encoder.setWithArguments(false);
        encoder.setWithMessage(false);
        encoder.setWithFormattedMessage(true);
        encoder.start();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setTarget("System.err");
        appender.setEncoder(encoder);
        appender.start();
        ch.qos.logback.classic.Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.toLevel(System.getProperty("brooklock.log"), Level.INFO));
        root.addAppender(appender);
        context.getLogger("org.xnio").setLevel(Level.WARN);
        context.getLogger("org.jboss").setLevel(Level.WARN);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }
}
