package samphirechute.core.service

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

class RequestRuleSpec {
    @Nested
    inner class Matching {
        /** Guards against an order that counts as repeatable because of its path or the case of its method. */
        @Test
        fun `a rule matches by method, path and kind`() {
            val rows =
                listOf(
                    Triple(RequestRule(method = "POST"), Triple("post", "/x", null), true),
                    Triple(RequestRule(method = "POST"), Triple("GET", "/x", null), false),
                    Triple(RequestRule(path = "/orders"), Triple("POST", "/orders/7", null), true),
                    Triple(RequestRule(path = "/orders"), Triple("POST", "/orders", null), true),
                    Triple(RequestRule(path = "/orders"), Triple("POST", "/ordersheet", null), false),
                    Triple(RequestRule(kind = "order"), Triple("POST", "/x", "order"), true),
                    Triple(RequestRule(kind = "order"), Triple("POST", "/x", null), false),
                )
            for ((rule, request, expected) in rows) {
                val (method, path, kind) = request
                assertEquals(expected, rule.matches(method, path, kind), "$rule for $request")
            }
        }
    }
}
