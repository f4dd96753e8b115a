package garnetreel.cli;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import net.logstash.logback.encoder.LogstashEncoder;
import org.slf4j.LoggerFactory;

/** Logs to standard error: JSON lines for machines, or plain lines for people. */
public final class Logging {
    /** Formats of log lines, named as on the command line. */
    public enum Format {
        plain,
        json
    }

    private Logging() {}

    /** Logs this program's lines from {@code level} up, and other libraries' warnings and errors, to standard error. */
    public static void configure(Format format, String level) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        Encoder<ILoggingEvent> encoder;
        if (format == Format.json) {
            encoder = new LogstashEncoder();
        } else {
            PatternLayoutEncoder plain = new PatternLayoutEncoder();
            plain.setPattern("%d{HH:mm:ss.SSS} %-5level %logger{24} %msg%n%ex{5}");
            encoder = plain;
        }
        encoder.setContext(context);
        encoder.start();
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(context);
        console.setTarget("System.err");
        console.setEncoder(encoder);
        console.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.WARN);
        root.addAppender(console);
        context.getLogger("garnetreel").setLevel(Level.toLevel(level, Level.INFO));
    }
}
