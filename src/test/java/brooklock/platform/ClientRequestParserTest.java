package brooklock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the parsing of valid calls and the rejection of invalid ones. */
class ClientRequestParserTest {
    private static final Map<String, RequestClassRules> CLASSES =
            Map.of(
                    "pages",
                    new RequestClassRules(0, false, true, 5_000_000_000L, false, 2500),
                    "orders",
                    new RequestClassRules(1, true, false, 5_000_000_000L, true, 3000));

    private static Map<String, String> validFields() {
        return new HashMap<>(
                Map.of(
                        "i",
                        "9b1f03aa5c7e2d41",
                        "d",
                        "1500",
                        "o",
                        "7f3a9c21e0b4d655",
                        "seg",
                        "3",
                        "bucket",
                        "17",
                        "m",
                        "412.5"));
    }

    private static Map<String, String> fieldsWith(String name, String value) {
        Map<String, String> fields = validFields();
        fields.put(name, value);
        return fields;
    }

    private static ClientRequest parse(String method, Map<String, String> fields, int bodyBytes)
            throws InvalidRequestException {
        return ClientRequestParser.parse(
                new RpcMessage.Call(1, method, fields, new byte[bodyBytes]), CLASSES);
    }

    @Test
    void validFieldsAreParsed() throws InvalidRequestException {
        ClientRequest request = parse("pages", fieldsWith("r", "1"), 0);
        assertEquals(0x9b1f03aa5c7e2d41L, request.id());
        assertEquals(0x7f3a9c21e0b4d655L, request.objectId());
        assertEquals(
                List.of(3, 17, 1500, 412.5, true),
                List.of(
                        request.part(),
                        request.group(),
                        request.timeoutMs(),
                        request.sizeKb(),
                        request.clientRetry()));
        assertNull(request.etag());
        assertNull(request.idempotencyKey());
        assertEquals(
                "5c0f6e1a2b3d4c59a8b7c6d5e4f30211",
                parse("orders", fieldsWith("k", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"), 9)
                        .idempotencyKey());
    }

    @Test
    void optionalFieldsHaveDefaults() throws InvalidRequestException {
        Map<String, String> fields = validFields();
        fields.keySet().removeAll(List.of("seg", "bucket", "m"));
        ClientRequest request = parse("pages", fields, 0);
        assertEquals(
                List.of(0, 0, 0.0), List.of(request.part(), request.group(), request.sizeKb()));
        assertFalse(request.clientRetry());
    }

    @ParameterizedTest
    @ValueSource(strings = {"i", "d", "o"})
    void requestsWithoutARequiredFieldAreInvalid(String name) {
        Map<String, String> fields = validFields();
        fields.remove(name);
        InvalidRequestException e =
                assertThrows(InvalidRequestException.class, () -> parse("pages", fields, 0));
        assertEquals("expected field " + name + " but it is missing", e.getMessage());
    }

    @ParameterizedTest
    @CsvSource({
        "i, 9b1f03aa5c7e2d4",
        "i, 9B1F03AA5C7E2D41",
        "i, '9b1f03aa5c7e2d4,'",
        "d, 0",
        "d, -5",
        "d, 2501",
        "d, 1e3",
        "d, 99999999999999999999",
        "o, x",
        "seg, -1",
        "seg, 70000",
        "bucket, 256",
        "bucket, a",
        "m, NaN",
        "m, -1",
        "m, 1e400",
        "r, yes",
        "etag, 'a,up=b'"
    })
    void requestsWithAMalformedFieldAreInvalid(String name, String value) {
        assertThrows(
                InvalidRequestException.class, () -> parse("pages", fieldsWith(name, value), 0));
    }

    @Test
    void requestsThatViolateTheirClassAreInvalid() {
        Map<String, String> fields = fieldsWith("r", "1");
        assertThrows(InvalidRequestException.class, () -> parse("nothing", fields, 0));
        InvalidRequestException body =
                assertThrows(InvalidRequestException.class, () -> parse("pages", fields, 1));
        assertTrue(body.getMessage().contains("body"), body.getMessage());
        // A call of this class must have an idempotency key.
        assertThrows(InvalidRequestException.class, () -> parse("orders", fields, 1));
    }
}
