package brooklock.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import brooklock.config.EndpointId;
import brooklock.routing.EndpointState;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that endpoint lists saved by earlier versions are loaded. An updated dispatcher starts from
 * such a file. If it could not load the file, it would start without the removals and overrides
 * that are in force.
 */
class SavedEndpointListSampleTest {
    @TempDir Path dir;

    private static String resource(String name) throws IOException {
        try (InputStream in = SavedEndpointListSampleTest.class.getResourceAsStream(name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private Membership restore(String name) throws IOException {
        Path path = Files.writeString(dir.resolve("list"), resource(name));
        Membership membership = new Membership(List.of("centre", "north"));
        membership.restore(new EndpointListFile(path).load().orElseThrow());
        return membership;
    }

    private static EndpointState stateOf(Membership membership, String name) {
        return membership.state().endpoints().get(EndpointId.of(name)).state();
    }

    @ParameterizedTest
    @ValueSource(strings = {"settings-list.saved", "several-sources-list.saved"})
    @DisplayName("a saved list is written back byte for byte")
    void rewrite(String name) throws IOException {
        Membership membership = restore(name);
        Path path = dir.resolve("written");
        new EndpointListFile(path).save(membership.state());
        assertEquals(resource(name), Files.readString(path));
    }

    @Test
    @DisplayName("a list from the settings is restored with its override")
    void settings() throws IOException {
        Membership membership = restore("settings-list.saved");
        assertEquals(6, membership.state().endpoints().size());
        assertEquals(EndpointState.DRAINING, stateOf(membership, "c2"));
        assertEquals(EndpointState.READY, stateOf(membership, "c1"));
    }

    @Test
    @DisplayName("a list of several sources is restored with versions, removals and overrides")
    void versioned() throws IOException {
        Membership membership = restore("several-sources-list.saved");
        EventSource registry = membership.state().sources().get("eureka-1");
        assertEquals(1796275602594L, registry.epoch());
        assertEquals(17, registry.sequence());
        assertEquals(EndpointState.GONE, stateOf(membership, "c1"));
        assertEquals(EndpointState.DRAINING, stateOf(membership, "c2"));
        assertEquals(EndpointState.GONE, stateOf(membership, "p1"));
    }

    // The saved list has an override for an endpoint that no source names any more. When the list
    // was saved, the endpoint was in force only as a removed one.
    @Test
    @DisplayName("an override of an endpoint that no source names is dropped")
    void overrideWithoutEndpoint() throws IOException {
        Membership membership = restore("registry-list.saved");
        EventSource registry = membership.state().sources().get("registry");
        assertEquals(7, registry.epoch());
        assertEquals(2, registry.sequence());
        assertEquals(EndpointState.DRAINING, stateOf(membership, "c1"));
        assertEquals(EndpointState.READY, stateOf(membership, "c3"));
        String expected =
                resource("registry-list.saved")
                        .replace("hand c2 draining\nend 5 f407e9ab\n", "end 4 ce627b5f\n");
        assertEquals(expected, MembershipStateCodec.encode(membership.state()));
    }
}
