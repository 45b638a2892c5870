package brooklock.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class UnitsTest {
    @ParameterizedTest
    @ValueSource(strings = {"", ".", "1.", "1..2s", "s", "-1s", "1e3s", "0x1s", "1 s"})
    void textOtherThanANumberWithAUnitIsRejected(String text) {
        assertThrows(InvalidStatementException.class, () -> Units.parseDurationNs(text));
    }

    @Test
    void fractionsOfAUnitAreExact() {
        assertEquals(1_500_000L, Units.parseDurationNs("1.5ms"));
    }
}
