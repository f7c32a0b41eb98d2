package samphirechute.daemon

import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.TestInstance
import samphirechute.core.HostPort
import samphirechute.core.RequestId
import samphirechute.core.api.ApiPaths
import samphirechute.core.api.PublishOutcome
import samphirechute.testkit.DeterministicAnswer
import samphirechute.testkit.UpstreamFault
import java.net.http.HttpResponse
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

/** Upstreams that misbehave over real sockets, beside others that do not. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class UpstreamFaultSpec {
    private val cluster = ClusterFixture()
    private lateinit var engine: HostPort
    private lateinit var application: HostPort

    @BeforeAll
    fun start() {
        cluster.startAll()
        cluster.awaitReady()
        engine = cluster.engine(0)
        cluster.engine(1)
        cluster.engine(2)
        application = cluster.application(0)
        assertEquals(PublishOutcome.ACCEPTED, cluster.publish().outcome)
        cluster.awaitService()
    }

    @AfterAll
    fun stop() = cluster.close()

    @Nested
    inner class Engines {
        /** Guards against an answer that is cut, crossed or lost because one engine misbehaves. */
        @Test
        fun `questions are answered whole by other engines`() {
            val faults =
                listOf(
                    UpstreamFault.REFUSE,
                    UpstreamFault.GARBAGE,
                    UpstreamFault.CROSSED,
                    UpstreamFault.CLOSE,
                    UpstreamFault.SILENT,
                    UpstreamFault.DIE,
                )
            for (fault in faults) {
                cluster.await("the engine is used") { isUsed("before-$fault-${count++}") }
                cluster.postAt(engine, "/control/fault?kind=$fault")
                cluster.await("$fault strikes a request") { (1..4).map { ask("$fault-${count++}") }.any(::isStruck) }
                if (fault != UpstreamFault.DIE) cluster.postAt(engine, "/control/fault?kind=none")
            }
            for ((id, answer) in answers) {
                assertEquals(200, answer.first, "$id: ${answer.second}")
                assertContains(answer.second, "\"${DeterministicAnswer.text(RequestId(id), 12)}\"", message = id)
            }
        }

        /** Checks that the answer is whole; true when it took more than one attempt. */
        private fun isStruck(asked: Pair<String, CompletableFuture<HttpResponse<String>>>): Boolean {
            val (id, answer) = asked
            val response = answer.get(DEADLINE_SECONDS, TimeUnit.SECONDS)
            answers += id to (response.statusCode() to response.body())
            return "attempt_retried" in timeline(id)
        }

        private val answers = mutableListOf<Pair<String, Pair<Int, String>>>()

        private var count = 0

        /** True when the engine of the own failure domain answered, so that it is not avoided any more. */
        private fun isUsed(id: String): Boolean {
            cluster.complete(0, "x", "Idempotency-Key" to id)
            return "engine-0" in timeline(id) && "attempt_retried" !in timeline(id)
        }

        private fun timeline(id: String) =
            cluster.get(0, "${ApiPaths.TIMELINE}?${ApiPaths.REQUEST_PARAMETER}=$id").body()

        private fun ask(id: String) =
            id to
                cluster.postLater(
                    0,
                    ApiPaths.COMPLETIONS,
                    """{"model":"draft-reply","prompt":"x","max_tokens":12}""",
                    "Idempotency-Key" to id,
                )
    }

    @Nested
    inner class Applications {
        /** Guards against an order whose answer was lost being called "not run", or being run again. */
        @Test
        fun `an order that got no answer is unknown, and a resend does not run it`() {
            cluster.postAt(application, "/control/fault?kind=silent")
            val path = "/v1/services/pallet-order/orders"
            val headers = arrayOf("Idempotency-Key" to "lost-1", "X-Deadline-Ms" to "2000")
            val first = cluster.post(0, path, "{}", *headers)
            cluster.postAt(application, "/control/fault?kind=none")
            val second = cluster.post(1, path, "{}", *headers)
            for (answer in listOf(first, second)) {
                assertContains(answer.body(), "outcome_unknown")
                assertContains(answer.body(), "\"run_state\":\"unknown\"")
            }
            val count = cluster.getAt(application, "/control/count?request=lost-1").body()
            assertContains(listOf("{\"count\":0}", "{\"count\":1}"), count.filterNot { it.isWhitespace() })
        }
    }

    @Nested
    inner class BadInput {
        /** Guards against bad input that gets no clear error, or is not told apart from work that ran. */
        @Test
        fun `each bad request gets its code, and nothing runs`() {
            val completions = ApiPaths.COMPLETIONS
            val rows =
                listOf(
                    Triple(completions, "{", "invalid_body"),
                    Triple(completions, """{"model":"draft-reply"}""", "invalid_body"),
                    Triple(completions, """{"model":"draft-reply","prompt":"x","max_tokens":0}""", "invalid_body"),
                    Triple(completions, """{"model":"nobody","prompt":"x"}""", "unknown_service"),
                    Triple(completions, """{"model":"pallet-order","prompt":"x"}""", "wrong_target"),
                    Triple(ApiPaths.CHAT_COMPLETIONS, """{"model":"draft-reply","messages":[]}""", "invalid_body"),
                    Triple("/v1/services/draft-reply/x", "{}", "wrong_target"),
                    Triple("/v1/services/nobody/x", "{}", "unknown_service"),
                    Triple("/nowhere", "{}", "unknown_path"),
                    Triple("/upstream/v1/announce", """{"upstream":"x"}""", "invalid_body"),
                    Triple(ApiPaths.PUBLISH, "[]", "invalid_body"),
                    Triple("/peer/v1/lease", "{}", "invalid_body"),
                )
            for ((path, body, code) in rows) {
                val answer = cluster.post(0, path, body)
                assertContains(answer.body(), "\"code\":\"$code\"", message = "$path $body")
                assertContains(answer.body(), "\"run_state\":\"not_run\"")
            }
        }
    }

    private companion object {
        const val DEADLINE_SECONDS = 20L
    }
}
