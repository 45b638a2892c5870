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
 * Configures logging for a dispatcher on the platform: JSON lines in the format of the other
 * programs on standard error. The configuration is written in code because parsing {@code
 * logback.xml} would lengthen each start. The system property {@code brooklock.log} sets the level;
 * the default is {@code INFO}.
 *
 * <p>Logback discovers this class through {@code META-INF/services}. Unless {@link #enable} has
 * been called it does nothing, so that {@code logback.xml} applies to the other programs.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
public final class PlatformLogging extends ContextAwareBase implements Configurator {
    private static volatile boolean enabled;

    /** Creates a configurator; called by Logback. */
    public PlatformLogging() {}

    /** Enables this configuration. Must be called before the first logger is created. */
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
