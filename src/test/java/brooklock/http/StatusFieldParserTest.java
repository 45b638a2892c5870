package brooklock.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class StatusFieldParserTest {
    @Test
    void listOfTwoHopsIsParsed() {
        List<StatusFieldParser.Member> members =
                StatusFieldParser.parse("origin;fwd=miss;fwd-status=200, \"edge, 1\"; hit; ttl=-4");
        assertEquals(2, members.size());
        assertEquals("200", members.get(0).parameters().get("fwd-status"));
        StatusFieldParser.Member nearest = members.get(1);
        assertEquals("edge, 1", nearest.name());
        assertTrue(nearest.hasFlag("hit"));
        assertEquals("-4", nearest.parameters().get("ttl"));
    }

    @Test
    void malformedValuesAreTreatedAsAbsent() {
        assertNull(StatusFieldParser.nearestMember("a;;"));
        assertNull(StatusFieldParser.nearestMember(null));
        assertTrue(StatusFieldParser.parse("a,".repeat(40) + "a").isEmpty());
    }
}
