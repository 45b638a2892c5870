package brooklock.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Verifies that a message is rejected if two parsers could disagree about where it ends, whether it
 * arrives in one buffer or byte by byte. Otherwise a second message could be smuggled past a proxy.
 */
class MessageStrictnessTest {
    private static final String GET = "GET /a HTTP/1.1\r\nHost: x\r\n";

    private static String unescape(String escaped) {
        return escaped.replace("\\r", "\r")
                .replace("\\n", "\n")
                .replace("\\t", "\t")
                .replace("\\0", "\0");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "400 | GET /a HTTP/1.1\\r\\n\\r\\n",
                "400 | GET /a HTTP/1.1\\r\\nHost: a\\r\\nHost: a\\r\\n\\r\\n",
                "400 | GET /a HTTP/1.1\\r\\nHost: a b\\r\\n\\r\\n",
                "400 | GET /a HTTP/1.1\\r\\nHost: a:99999x\\r\\n\\r\\n",
                "400 | GET  /a HTTP/1.1\\r\\nHost: a\\r\\n\\r\\n",
                "400 | GET /a HTTP/1.1 \\r\\nHost: a\\r\\n\\r\\n",
                "400 | GET /a b HTTP/1.1\\r\\nHost: a\\r\\n\\r\\n",
                "400 | GET /a#b HTTP/1.1\\r\\nHost: a\\r\\n\\r\\n",
                "400 | GET a HTTP/1.1\\r\\nHost: a\\r\\n\\r\\n",
                "400 | GET * HTTP/1.1\\r\\nHost: a\\r\\n\\r\\n",
                "400 | G(T /a HTTP/1.1\\r\\nHost: a\\r\\n\\r\\n",
                "400 | GET /a HTTQ/1.1\\r\\nHost: a\\r\\n\\r\\n",
                "505 | GET /a HTTP/2.0\\r\\nHost: a\\r\\n\\r\\n",
                "501 | CONNECT a:1 HTTP/1.1\\r\\nHost: a\\r\\n\\r\\n",
                "400 | GET /a HTTP/1.1\\nHost: a\\r\\n\\r\\n",
                "400 | GET /a HTTP/1.1\\rHost: a\\r\\n\\r\\n",
                "400 | GET /a HTTP/1.1\\r\\nHost : a\\r\\n\\r\\n",
                "400 | GET /a HTTP/1.1\\r\\nHost: a\\r\\n b\\r\\n\\r\\n",
                "400 | GET /a HTTP/1.1\\r\\nHost: a\\r\\nX: a\\0b\\r\\n\\r\\n",
                "400 | GET /a HTTP/1.1\\r\\nHost: a\\r\\n: b\\r\\n\\r\\n",
                "400 | GET /a HTTP/1.1\\r\\nHost: a\\r\\nnocolon\\r\\n\\r\\n",
                "400 | PUT /a HTTP/1.1\\r\\nHost: a\\r\\nContent-Length: 1\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n",
                "400 | PUT /a HTTP/1.1\\r\\nHost: a\\r\\nContent-Length: 1\\r\\nContent-Length: 2\\r\\n\\r\\n",
                "400 | PUT /a HTTP/1.1\\r\\nHost: a\\r\\nContent-Length: 1, 1\\r\\n\\r\\n",
                "400 | PUT /a HTTP/1.1\\r\\nHost: a\\r\\nContent-Length: +1\\r\\n\\r\\n",
                "400 | PUT /a HTTP/1.1\\r\\nHost: a\\r\\nContent-Length: 9999999999999999999\\r\\n\\r\\n",
                "413 | PUT /a HTTP/1.1\\r\\nHost: a\\r\\nContent-Length: 99999999999999999\\r\\n\\r\\n",
                "501 | PUT /a HTTP/1.1\\r\\nHost: a\\r\\nTransfer-Encoding: gzip, chunked\\r\\n\\r\\n",
                "400 | PUT /a HTTP/1.0\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n",
                "400 | PUT /a HTTP/1.1\\r\\nHost: a\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\nzz\\r\\n",
                "400 | PUT /a HTTP/1.1\\r\\nHost: a\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n1 ;a\\r\\n",
                "400 | PUT /a HTTP/1.1\\r\\nHost: a\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n1\\nx",
                "400 | PUT /a HTTP/1.1\\r\\nHost: a\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n1\\r\\nxy\\r\\n",
                "400 | PUT /a HTTP/1.1\\r\\nHost: a\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\nfffffffffffffffff\\r\\n",
                "400 | \\r\\n\\r\\n\\r\\n\\r\\nGET /a HTTP/1.1\\r\\nHost: a\\r\\n\\r\\n",
            })
    void ambiguousRequestsAreRejected(int status, String escaped) {
        String text = unescape(escaped);
        assertEquals(
                status,
                assertThrows(
                                HttpProtocolException.class,
                                () -> MessageFeeder.parseRequest(text, List.of()))
                        .status);
        assertEquals(
                status,
                assertThrows(
                                HttpProtocolException.class,
                                () ->
                                        MessageFeeder.parseRequest(
                                                text, MessageFeeder.everyOffset(text)))
                        .status);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\\r\\nContent-Length: 5\\r\\n\\r\\nabc",
                "HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n3\\r\\nabc\\r\\n",
                "HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\nContent-Length: 3\\r\\n\\r\\n3\\r\\nabc\\r\\n0\\r\\n\\r\\n",
                "HTTP/1.1 20 OK\\r\\n\\r\\n",
                "HTTP/3.0 200 OK\\r\\n\\r\\n",
                "HTTP/1.1 999 OK\\r\\n\\r\\n",
                "ICY 200 OK\\r\\n\\r\\n"
            })
    void truncatedOrAmbiguousResponsesAreRejected(String escaped) {
        assertEquals(
                502,
                assertThrows(
                                HttpProtocolException.class,
                                () ->
                                        MessageFeeder.parseResponse(
                                                unescape(escaped), "GET", List.of()))
                        .status);
    }

    @Test
    void exceededLimitsAreReportedWithTheirStatus() {
        assertEquals(414, status("GET /" + "a".repeat(9000) + " HTTP/1.1\r\n"));
        assertEquals(431, status(GET + "X: " + "a".repeat(9000) + "\r\n"));
        assertEquals(431, status(GET + ("X: " + "a".repeat(4000) + "\r\n").repeat(9)));
        assertEquals(431, status(GET + "X: a\r\n".repeat(100) + "\r\n"));
        String trailers = "X: a\r\n".repeat(101);
        assertEquals(
                431, status(GET + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + trailers + "\r\n"));
    }

    private static int status(String text) {
        return assertThrows(
                        HttpProtocolException.class,
                        () -> MessageFeeder.parseRequest(text, List.of()))
                .status;
    }

    @Test
    void everyTargetFormIsParsed() throws HttpProtocolException {
        RequestHead absolute = head("GET http://b.example:81/x?y HTTP/1.1\r\nHost: a\r\n\r\n");
        assertEquals("/x?y", absolute.target());
        assertEquals("b.example:81", absolute.authority());
        assertEquals("/?q", head("GET http://b?q HTTP/1.1\r\nHost: a\r\n\r\n").target());
        assertEquals("*", head("OPTIONS * HTTP/1.1\r\nHost: [::1]:80\r\n\r\n").target());
        assertEquals("", head("GET / HTTP/1.0\r\n\r\n").authority());
    }

    private static RequestHead head(String text) throws HttpProtocolException {
        return (RequestHead) MessageFeeder.parseRequest(text, List.of()).head();
    }

    @Test
    void responsesWithoutABodyEndWithTheirHeads() throws HttpProtocolException {
        String head = "Content-Length: 5\r\n\r\n";
        assertEquals(
                "",
                MessageFeeder.parseResponse("HTTP/1.1 200 OK\r\n" + head, "HEAD", List.of())
                        .body());
        assertEquals(
                "",
                MessageFeeder.parseResponse("HTTP/1.1 304 x\r\n" + head, "GET", List.of()).body());
        assertEquals(
                "", MessageFeeder.parseResponse("HTTP/1.1 204 \r\n\r\n", "GET", List.of()).body());
        assertEquals(
                "",
                MessageFeeder.parseResponse("HTTP/1.1 100 Continue\r\n\r\n", "GET", List.of())
                        .body());
        assertEquals(
                "until close",
                MessageFeeder.parseResponse("HTTP/1.1 200\r\n\r\nuntil close", "GET", List.of())
                        .body());
    }
}
