package samphirechute.core.log

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

class KeyValueLogSpec {
    @Nested
    inner class Quoting {
        /** Guards against a value that splits the line into two events or hides a later field. */
        @Test
        fun `values with special characters are quoted and escaped`() {
            val rows =
                listOf(
                    "plain" to "plain",
                    "two words" to "\"two words\"",
                    "a=b" to "\"a=b\"",
                    "say \"x\"" to "\"say \\\"x\\\"\"",
                    "a\nb" to "\"a\\nb\"",
                    "" to "\"\"",
                )
            for ((value, written) in rows) {
                assertEquals("event=e k=$written", KeyValueLog("t").line("e", mapOf("k" to value)))
            }
        }
    }
}
