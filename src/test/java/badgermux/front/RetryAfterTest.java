package badgermux.front;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests how the seconds of {@code Retry-After} are formatted. */
class RetryAfterTest {
    @ParameterizedTest @CsvSource({"1, 0.001", "499, 0.001", "1500, 0.002", "50000, 0.050", "999999, 1.000",
        "2000000, 2.000", "61234000, 61.234"})
    void secondsHaveThreeDecimalsAndAreNeverZero(long micros, String seconds) {
        assertEquals(seconds, ClientRequest.formatSeconds(micros));
    }
}
