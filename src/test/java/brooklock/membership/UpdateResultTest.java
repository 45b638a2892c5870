package brooklock.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import brooklock.membership.UpdateResult.Status;
import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests the response to the sender of an update. Registries act on the word and on the HTTP status.
 */
class UpdateResultTest {
    @ParameterizedTest
    @CsvSource({
        "APPLIED, taken, 200, true",
        "DUPLICATE, repeated, 200, false",
        "STALE_SEQUENCE, older, 409, false",
        "STALE_EPOCH, old-epoch, 409, false",
        "GAP, gap, 409, false",
        "CONFLICT, conflict, 409, false",
        "STILL_RESTRICTED, held, 409, true",
        "REJECTED, refused, 400, false",
        "UNKNOWN, unknown, 404, false"
    })
    @DisplayName("each status has its word and its HTTP status on the control listener")
    void wordsAndStatuses(Status status, String word, int httpStatus, boolean applied) {
        UpdateResult result = new UpdateResult(status, "detail", List.of(), false);
        assertEquals(word + "\ndetail\n", result.responseBody());
        assertEquals(httpStatus, status.httpStatus());
        assertEquals(applied, result.applied());
        assertEquals(
                word + "\ndetail\nnot saved: disk full\n",
                result.withSaveError("disk full").responseBody());
    }
}
