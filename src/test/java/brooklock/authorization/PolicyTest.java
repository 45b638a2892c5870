package brooklock.authorization;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.config.SettingsException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests parsing policy files and the decisions of policies. */
class PolicyTest {
    private static final String POLICY =
            """
            tenant acme weight 2 rate 50/s
            tenant beta
            tenant carl
            group partners acme beta
            map claim tenant acme acme
            map san beta.example beta
            allow acme GET,HEAD /scans/acme/{rest}
            allow beta * /scans/beta/{object}/{part}
            allow partners GET /scans/shared/{rest} class scans
            deny all GET /scans/shared/secret/{rest} until 2027-01-31T08:00:00Z
            deny carl * /{rest}
            allow all GET /open
            """;

    private static Policy policy() {
        try {
            return PolicyReader.parse("p", POLICY);
        } catch (SettingsException e) {
            throw new AssertionError(e);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "acme, GET, /scans/acme/x/0, scans, 2027-01-01T00:00:00Z, true, 7",
        "acme, POST, /scans/acme/x/0, scans, 2027-01-01T00:00:00Z, false, 0",
        "acme, GET, /scans/acme, scans, 2027-01-01T00:00:00Z, false, 0",
        "acme, GET, /scans/beta/x/0, scans, 2027-01-01T00:00:00Z, false, 0",
        "beta, DELETE, /scans/beta/x/0, scans, 2027-01-01T00:00:00Z, true, 8",
        "beta, GET, /scans/beta/x/0/1, scans, 2027-01-01T00:00:00Z, false, 0",
        "beta, GET, /scans/beta//0, scans, 2027-01-01T00:00:00Z, false, 0",
        "beta, GET, /scans/shared/a, scans, 2027-01-01T00:00:00Z, true, 9",
        "beta, GET, /scans/shared/a, logs, 2027-01-01T00:00:00Z, false, 0",
        "beta, GET, /scans/shared/secret/a, scans, 2027-01-31T07:59:59Z, false, 10",
        "beta, GET, /scans/shared/secret/a, scans, 2027-01-31T08:00:00Z, true, 9",
        "carl, GET, /open, scans, 2027-01-01T00:00:00Z, false, 11",
        "acme, GET, /open, scans, 2027-01-01T00:00:00Z, true, 12",
        "acme, GET, /Open, scans, 2027-01-01T00:00:00Z, false, 0",
        "nobody, GET, /open, scans, 2027-01-01T00:00:00Z, false, 0",
    })
    @DisplayName("a decision reports the deciding line")
    void decisions(
            String tenant,
            String method,
            String path,
            String routeClass,
            String at,
            boolean allowed,
            int line) {
        AccessDecision decision =
                policy().decide(tenant, method, path, routeClass, Instant.parse(at).toEpochMilli());
        assertEquals(allowed, decision.allowed(), decision.explain());
        assertEquals(line, decision.line());
    }

    @ParameterizedTest
    @CsvSource({
        "true, 7, allowed by line 7",
        "false, 10, denied by line 10",
        "false, 0, no line allows it"
    })
    @DisplayName("each decision has its explanation for the audit log and keys explain")
    void explanations(boolean allowed, int line, String explanation) {
        assertEquals(explanation, new AccessDecision(allowed, line, 0).explain());
    }

    @Test
    @DisplayName("a decision reports how long it is valid")
    void validity() {
        AccessDecision decision =
                policy().decide("beta", "GET", "/scans/shared/secret/a", "scans", 0);
        assertEquals(Instant.parse("2027-01-31T08:00:00Z").toEpochMilli(), decision.validUntilMs());
    }

    @Test
    @DisplayName("names in credentials are mapped to tenants")
    void mappings() {
        Policy policy = policy();
        assertEquals(Optional.of("acme"), policy.tenantByClaim("tenant", "acme").map(Tenant::name));
        assertEquals(Optional.empty(), policy.tenantByClaim("tenant", "beta"));
        assertEquals(
                Optional.of("beta"),
                policy.tenantByCertificate(NameKind.SAN, "beta.example").map(Tenant::name));
        assertEquals(
                Optional.empty(), policy.tenantByCertificate(NameKind.SUBJECT, "beta.example"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "tenant beta | tenant acme | p:2: expected an unused name but 'acme' is reserved or"
                        + " names a tenant or group already",
                "group partners acme beta | group partners acme gamma"
                        + " | p:4: expected a tenant or group defined above this line but"
                        + " received 'gamma'",
                "map claim tenant acme acme | map name acme acme"
                        + " | p:5: expected a kind of name (claim, san, subject) but received"
                        + " 'name'",
                "allow acme GET,HEAD | allow acme | p:7: ",
                "until 2027-01-31T08:00:00Z | until soon | p:10: expected an instant, as in"
                        + " 2027-01-31T08:00:00Z, but received 'soon'",
                "until 2027-01-31T08:00:00Z"
                        + " | from 2027-01-31T08:00:00Z until 2026-01-31T08:00:00Z"
                        + " | p:10: expected 'until' to be later than 'from'",
                "/open | /o%70en | p:12: expected a path in canonical form but received",
                "rate 50/s | rate 50 | p:1: expected a rate per second, as in 50/s, but received"
                        + " '50'",
            })
    @DisplayName("a mistake is reported with its line number")
    void mistakes(String valid, String invalid, String report) {
        assertTrue(POLICY.contains(valid));
        String message =
                assertThrows(
                                SettingsException.class,
                                () -> PolicyReader.parse("p", POLICY.replace(valid, invalid)))
                        .getMessage();
        assertTrue(message.lines().anyMatch(line -> line.startsWith(report)), message);
    }

    // A deployment script fails while it writes the file. The incomplete policy would deny all
    // requests, or allow requests that missing lines deny.
    @ParameterizedTest
    @CsvSource({"0", "9", "-1"})
    @DisplayName("an empty or truncated file is rejected")
    void halfWritten(int length) {
        String text =
                switch (length) {
                    case 0 -> "";
                    case 9 -> "tenant a\n";
                    default -> POLICY.substring(0, POLICY.length() - 1);
                };
        assertThrows(SettingsException.class, () -> PolicyReader.parse("p", text));
    }

    @Test
    @DisplayName(
            "a compiled policy of thousands of lines decides like a linear search of the lines")
    void thousandsOfLines() throws SettingsException {
        Random random = new Random(5);
        StringBuilder text = new StringBuilder();
        int tenants = 20;
        for (int i = 0; i < tenants; i++) {
            text.append("tenant t").append(i).append('\n');
        }
        List<String[]> lines = new ArrayList<>();
        for (int i = 0; i < 3000; i++) {
            String[] line = {
                random.nextInt(3) == 0 ? "deny" : "allow",
                "t" + random.nextInt(tenants),
                "GET",
                randomPattern(random)
            };
            lines.add(line);
            text.append(String.join(" ", line)).append('\n');
        }
        Policy policy = PolicyReader.parse("many", text.toString());
        for (int i = 0; i < 3000; i++) {
            String tenant = "t" + random.nextInt(tenants);
            String path =
                    "/a"
                            + random.nextInt(9)
                            + "/b"
                            + random.nextInt(9)
                            + (random.nextBoolean() ? "/c" + random.nextInt(3) : "");
            int allow = firstApplicableLine(lines, "allow", tenant, path);
            int deny = firstApplicableLine(lines, "deny", tenant, path);
            AccessDecision decision = policy.decide(tenant, "GET", path, "c", 0);
            String request = tenant + " " + path;
            assertEquals(deny == 0 && allow > 0, decision.allowed(), request);
            assertEquals(deny > 0 ? deny : allow, decision.line(), request);
        }
    }

    private static String randomPattern(Random random) {
        String first = random.nextInt(6) == 0 ? "{x}" : "a" + random.nextInt(8);
        if (random.nextInt(5) == 0) {
            return "/" + first + "/{rest}";
        }
        String second = random.nextInt(5) == 0 ? "{y}" : "b" + random.nextInt(8);
        return "/"
                + first
                + "/"
                + second
                + (random.nextInt(3) == 0 ? "/c" + random.nextInt(3) : "");
    }

    /**
     * Returns the number of the first line with the given verb that applies to a request, or 0 if
     * none does. The file begins with 20 other lines, one for each tenant.
     */
    private static int firstApplicableLine(
            List<String[]> lines, String verb, String tenant, String path) {
        for (int i = 0; i < lines.size(); i++) {
            String[] line = lines.get(i);
            String regex =
                    line[3].replace("{rest}", ".*").replace("{x}", "[^/]+").replace("{y}", "[^/]+");
            if (line[0].equals(verb) && line[1].equals(tenant) && path.matches(regex)) {
                return i + 21;
            }
        }
        return 0;
    }
}
