package brooklock.cli;

import brooklock.http.Fields;
import brooklock.testserver.LoadGenerator;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The {@code load} command, which generates a load of GET requests. */
@Command(
        name = "load",
        mixinStandardHelpOptions = true,
        description =
                "Requests a URL again and again; with --rate, latencies count from the moments at "
                        + "which requests were due.")
final class LoadCommand implements Callable<Integer> {
    private static final long SECOND_NS = 1_000_000_000L;
    private static final long WARM_UP_NS = SECOND_NS;
    private static final int DEFAULT_PORT = 80;

    @Parameters(
            paramLabel = "URL",
            description = "what to request; {n} in it becomes a number below --objects")
    private URI url;

    @Option(
            names = "--rate",
            paramLabel = "N",
            description = "requests a second; without it, as many as the connections carry")
    private double rate;

    @Option(
            names = "--connections",
            paramLabel = "N",
            defaultValue = "64",
            description = "default ${DEFAULT-VALUE}")
    private int connections;

    @Option(
            names = "--threads",
            paramLabel = "N",
            defaultValue = "2",
            description = "default ${DEFAULT-VALUE}")
    private int threads;

    @Option(
            names = "--seconds",
            paramLabel = "N",
            defaultValue = "10",
            description = "default ${DEFAULT-VALUE}")
    private int seconds;

    @Option(
            names = "--objects",
            paramLabel = "N",
            defaultValue = "1000",
            description = "default ${DEFAULT-VALUE}")
    private int objects;

    @Option(
            names = "--header",
            paramLabel = "NAME=VALUE",
            description = "a field sent with each request")
    private Map<String, String> headers;

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (!"http".equals(url.getScheme())
                || url.getHost() == null
                || connections < 1
                || threads < 1
                || seconds < 1
                || objects < 1) {
            System.err.println(
                    "brooklock: expected a URL of the form http://HOST:PORT/PATH, and --connections,"
                            + " --threads, --seconds and --objects of at least 1, but received scheme "
                            + url.getScheme()
                            + ", host "
                            + url.getHost()
                            + " and the numbers "
                            + connections
                            + ", "
                            + threads
                            + ", "
                            + seconds
                            + " and "
                            + objects);
            return Cli.EXIT_PROBLEM;
        }
        String path = url.getRawPath() + (url.getRawQuery() == null ? "" : "?" + url.getRawQuery());
        int port = url.getPort() < 0 ? DEFAULT_PORT : url.getPort();
        Fields fields = new Fields();
        if (headers != null) {
            headers.forEach(fields::add);
        }
        System.out.println(
                LoadGenerator.run(
                        new LoadGenerator.Plan(
                                new InetSocketAddress(url.getHost(), port),
                                url.getRawAuthority(),
                                rate,
                                connections,
                                threads,
                                WARM_UP_NS,
                                seconds * SECOND_NS,
                                i -> path.replace("%7Bn%7D", Integer.toString(i % objects)),
                                fields)));
        return 0;
    }
}
