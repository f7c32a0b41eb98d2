package samphirechute.daemon

import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.TestInstance
import samphirechute.core.RequestId
import samphirechute.core.api.ApiPaths
import samphirechute.core.api.PublishOutcome
import samphirechute.core.api.TimelineView
import samphirechute.testkit.DeterministicAnswer
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

/** Three instances in three failure domains, with engines and an application, over real sockets. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class WholePathSpec {
    private val cluster = ClusterFixture()

    @BeforeAll
    fun start() {
        cluster.startAll()
        cluster.awaitReady()
        repeat(3) { cluster.engine(it) }
        cluster.application(1)
        assertEquals(PublishOutcome.ACCEPTED, cluster.publish().outcome)
        cluster.awaitService()
    }

    @AfterAll
    fun stop() = cluster.close()

    @Nested
    inner class Completions {
        /** Guards against an answer that is cut, mixed with another, or repeated. */
        @Test
        fun `each caller gets the whole answer to its own request`() {
            val calls =
                (1..30).map { number ->
                    val id = "whole-$number"
                    val body = """{"model":"draft-reply","prompt":"hello $number","max_tokens":20}"""
                    id to cluster.postLater(number % 3, ApiPaths.COMPLETIONS, body, "Idempotency-Key" to id)
                }
            for ((id, call) in calls) {
                val answer = call.get()
                assertEquals(200, answer.statusCode(), answer.body())
                assertContains(answer.body(), "\"text\":\"${DeterministicAnswer.text(RequestId(id), 20)}\"")
            }
        }

        /** Guards against a stream whose events are lost or whose end is not marked. */
        @Test
        fun `a stream carries all tokens and ends with its mark`() {
            val answer = cluster.complete(0, "hi", "Idempotency-Key" to "stream-1", maxTokens = 8, isStream = true)
            val text = Regex("\"text\":\"([^\"]*)\"").findAll(answer.body()).joinToString("") { it.groupValues[1] }
            assertEquals(DeterministicAnswer.text(RequestId("stream-1"), 8), text)
            assertContains(answer.body(), "data: [DONE]")
        }

        /** Guards against a resend that takes the answer of the first submission, or ends it. */
        @Test
        fun `a request sent again while it runs gets an answer of its own, and so does the first`() {
            val body = """{"model":"draft-reply","prompt":"again","max_tokens":300}"""
            val calls = (1..3).map { cluster.postLater(0, ApiPaths.COMPLETIONS, body, "Idempotency-Key" to "again-1") }
            for (answer in calls.map { it.get() }) {
                assertEquals(200, answer.statusCode(), answer.body())
                assertContains(answer.body(), "\"completion_tokens\":300")
            }
        }

        /** Guards against a request whose course cannot be followed over the instances. */
        @Test
        fun `the time line shows the steps of a request`() {
            cluster.complete(2, "hi", "Idempotency-Key" to "timeline-1")
            val path = "${ApiPaths.TIMELINE}?${ApiPaths.REQUEST_PARAMETER}=timeline-1"
            val events = cluster.view(2, path, TimelineView.serializer()).events.map { it.event }
            assertEquals(listOf("request_accepted", "dispatched", "first_token", "request_finished"), events)
        }
    }

    @Nested
    inner class Orders {
        /** Guards against an order that is placed twice because its caller resent it to another instance. */
        @Test
        fun `a resend through another instance gets the first answer`() {
            val answers =
                (0 until 6).map {
                    cluster.post(
                        it % 3,
                        "/v1/services/pallet-order/orders",
                        "{}",
                        "Idempotency-Key" to "order-1",
                    )
                }
            assertEquals(setOf(200), answers.map { it.statusCode() }.toSet(), answers.first().body())
            assertEquals(1, answers.map { it.body() }.toSet().size)
            assertContains(answers.first().body(), "\"execution\":1")
        }

        /** Guards against an order that cannot be told from its resend. */
        @Test
        fun `an order without a request id, or with another body under the same one, is refused as not run`() {
            val path = "/v1/services/pallet-order/orders"
            val without = cluster.post(0, path, "{}")
            cluster.post(0, path, "{}", "Idempotency-Key" to "order-2")
            val other = cluster.post(1, path, "{\"more\":1}", "Idempotency-Key" to "order-2")
            assertEquals(listOf(400, 422), listOf(without, other).map { it.statusCode() })
            for (answer in listOf(without, other)) assertContains(answer.body(), "\"run_state\":\"not_run\"")
        }
    }
}
