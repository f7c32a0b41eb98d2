package samphirechute.core.api

import org.junit.jupiter.api.Nested
import samphirechute.core.OperationId
import samphirechute.core.PoolName
import samphirechute.core.RunState
import samphirechute.core.ServiceName
import samphirechute.core.TeamName
import samphirechute.core.service.ServiceSpec
import samphirechute.core.service.ServiceTarget
import kotlin.test.Test
import kotlin.test.assertEquals

class ApiJsonSpec {
    private val spec =
        ServiceSpec(
            ServiceName("s"),
            TeamName("t"),
            ServiceTarget.Model(PoolName("m")),
            firstTokenMs = 1,
            deadlineMs = 2,
        )

    @Nested
    inner class Names {
        /** Guards against renaming a field that clients of the operator interface depend on. */
        @Test
        fun `field names are those of the documented interface`() {
            val error = ErrorBody(ErrorDetail("overloaded", "try later", RunState.NOT_RUN, 250))
            assertEquals(
                """{"error":{"code":"overloaded","message":"try later","run_state":"not_run","retry_after_ms":250}}""",
                ApiJson.encodeToString(error),
            )
            val drain = DrainRequest(OperationId("o"), DrainKind.DOMAIN, "sofia-a", isDrained = true)
            assertEquals(
                """{"operation_id":"o","kind":"domain","name":"sofia-a","is_drained":true}""",
                ApiJson.encodeToString(drain),
            )
        }

        /** Guards against a published service that changes when it is encoded and decoded. */
        @Test
        fun `a publish request is the same after encoding and decoding`() {
            val request = PublishRequest(OperationId("o"), 7, listOf(spec))
            assertEquals(request, ApiJson.decodeFromString<PublishRequest>(ApiJson.encodeToString(request)))
        }

        /** Guards against a newer daemon that an older command line cannot read. */
        @Test
        fun `unknown fields are ignored`() {
            val reply = ApiJson.decodeFromString<DrainReply>("""{"is_committed":true,"added_later":1}""")
            assertEquals(DrainReply(isCommitted = true), reply)
        }
    }
}
