package brooklock.authorization;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.config.SettingsException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

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
    void decidesAndNamesTheLine(
            String tenant,
            String method,
            String path,
            String cls,
            String at,
            boolean allowed,
            int line) {
        AccessDecision d =
                policy().decide(tenant, method, path, cls, Instant.parse(at).toEpochMilli());
        assertEquals(allowed, d.allowed(), d.explain());
        assertEquals(line, d.line());
    }

    @Test
    void aDecisionSaysHowLongItSurelyHolds() {
        AccessDecision d = policy().decide("beta", "GET", "/scans/shared/secret/a", "scans", 0);
        assertEquals(Instant.parse("2027-01-31T08:00:00Z").toEpochMilli(), d.validUntilMs());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "tenant beta | tenant acme | p:2: the name 'acme' is taken already",
                "group partners acme beta | group partners acme gamma | p:4: there is no tenant or group 'gamma'",
                "map claim tenant acme acme | map name acme acme | p:5: 'name' is not a kind of name",
                "allow acme GET,HEAD | allow acme | p:7: ",
                "until 2027-01-31T08:00:00Z | until soon | p:10: 'soon' is not a moment",
                "until 2027-01-31T08:00:00Z | from 2027-01-31T08:00:00Z until 2026-01-31T08:00:00Z | p:10: this holds at no time",
                "/open | /o%70en | p:12: the path is not in form",
                "rate 50/s | rate 50 | p:1: '50': a rate needs its unit",
            })
    void mistakesAreToldWithTheirLine(String right, String wrong, String told) {
        assertTrue(POLICY.contains(right));
        String message =
                assertThrows(
                                SettingsException.class,
                                () -> PolicyReader.parse("p", POLICY.replace(right, wrong)))
                        .getMessage();
        assertTrue(message.lines().anyMatch(l -> l.startsWith(told)), message);
    }

    @Test
    void anEmptiedOrHalfWrittenFileIsNoPolicy() {
        assertThrows(SettingsException.class, () -> PolicyReader.parse("p", ""));
        assertThrows(SettingsException.class, () -> PolicyReader.parse("p", "tenant a\n"));
        assertThrows(
                SettingsException.class,
                () -> PolicyReader.parse("p", POLICY.substring(0, POLICY.length() - 1)));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "/scans/%2e%2e/x",
                "/scans/../x",
                "/scans/./x",
                "/scans//x",
                "/scans/a%2Fb",
                "/scans/a%2fb",
                "/scans/a%252Fb",
                "/scans/a;b=1/x",
                "/scans/%C0%AE%C0%AE/x",
                "/scans/%E0%80%AF",
                "/scans/a%00",
                "/scans/%41",
                "/scans/a%5Cb",
                "/scans/a\\b",
                "/scans/%",
                "/scans/%4",
                "/scans/%zz",
                "/scans/a?x=1&x=2",
                "/scans/a?x&y=1&x",
                "/scans/\u00e9",
                "/scans/%c3%a9",
                "/scans/%3B",
                "scans/a",
                "/scans/%ED%A0%80"
            })
    void pathsThatAnotherReaderMightTakeOtherwiseAreRefused(String target) {
        assertNotNull(PathValidator.validate(target), target);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "/",
                "/scans/",
                "/scans/a.b/x-1",
                "/scans/%C3%A9",
                "/scans/a%20b",
                "/scans/a?x=1&y=%2F",
                "/scans/...",
                "/a/@b:c",
                "/scans/%22"
            })
    void pathsInFormAreTakenAsTheyAre(String target) {
        assertNull(PathValidator.validate(target), target);
    }

    @Test
    void thousandsOfLinesDecideAsOneByOneWould() throws SettingsException {
        Random r = new Random(5);
        StringBuilder s = new StringBuilder();
        for (int t = 0; t < 20; t++) {
            s.append("tenant t").append(t).append('\n');
        }
        List<String[]> lines = new ArrayList<>();
        for (int i = 0; i < 3000; i++) {
            String path =
                    "/"
                            + (r.nextInt(6) == 0 ? "{x}" : "a" + r.nextInt(8))
                            + "/"
                            + (r.nextInt(5) == 0
                                    ? "{rest}"
                                    : (r.nextInt(5) == 0 ? "{y}" : "b" + r.nextInt(8))
                                            + (r.nextInt(3) == 0 ? "/c" + r.nextInt(3) : ""));
            String[] line = {
                r.nextInt(3) == 0 ? "deny" : "allow", "t" + r.nextInt(20), "GET", path
            };
            lines.add(line);
            s.append(String.join(" ", line)).append('\n');
        }
        Policy p = PolicyReader.parse("many", s.toString());
        for (int i = 0; i < 3000; i++) {
            String tenant = "t" + r.nextInt(20);
            String path =
                    "/a"
                            + r.nextInt(9)
                            + "/b"
                            + r.nextInt(9)
                            + (r.nextBoolean() ? "/c" + r.nextInt(3) : "");
            int allow = 0;
            int deny = 0;
            for (int n = lines.size() - 1; n >= 0; n--) {
                String[] l = lines.get(n);
                String regex =
                        l[3].replace("{rest}", ".*")
                                .replace("{x}", "[^/]+")
                                .replace("{y}", "[^/]+");
                if (l[1].equals(tenant) && path.matches(regex)) {
                    deny = l[0].equals("deny") ? n + 21 : deny;
                    allow = l[0].equals("allow") ? n + 21 : allow;
                }
            }
            AccessDecision d = p.decide(tenant, "GET", path, "c", 0);
            assertEquals(deny == 0 && allow > 0, d.allowed(), tenant + " " + path);
            assertEquals(deny > 0 ? deny : allow, d.line(), tenant + " " + path);
        }
    }
}
