package samphirechute.daemon

import org.junit.jupiter.api.Nested
import samphirechute.core.InstanceId
import samphirechute.core.OperationId
import samphirechute.core.RequestId
import samphirechute.core.api.ApiJson
import samphirechute.core.api.ApiPaths
import samphirechute.core.api.DrainKind
import samphirechute.core.api.DrainReply
import samphirechute.core.api.DrainRequest
import samphirechute.core.api.PublishOutcome
import samphirechute.core.service.ServiceMode
import samphirechute.testkit.DeterministicAnswer
import samphirechute.testkit.StandInOptions
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Whole instances over real sockets, while some of them die, stop or are taken out of service. */
class FailureSpec {
    private fun withCluster(action: ClusterFixture.() -> Unit) = ClusterFixture().use { it.startAll().action() }

    private fun ClusterFixture.serve() {
        awaitReady()
        repeat(3) { engine(it) }
        application(0)
        application(1)
        assertEquals(PublishOutcome.ACCEPTED, publish().outcome)
        awaitService()
    }

    private fun ClusterFixture.order(
        index: Int,
        id: String,
    ) = post(index, "/v1/services/pallet-order/orders", "{}", "Idempotency-Key" to id)

    private fun ClusterFixture.drain(
        index: Int,
        kind: DrainKind,
        name: String,
        isDrained: Boolean,
    ): DrainReply {
        val request = DrainRequest(OperationId("drain-$name-$isDrained"), kind, name, isDrained)
        val answer = post(index, ApiPaths.DRAINS, ApiJson.encodeToString(DrainRequest.serializer(), request))
        assertEquals(200, answer.statusCode(), answer.body())
        return ApiJson.decodeFromString(DrainReply.serializer(), answer.body())
    }

    @Nested
    inner class Restarts {
        /** Guards against a configuration or an order that is forgotten when every process restarts at once. */
        @Test
        fun `all instances restart, and neither the configuration nor an order is lost`() =
            withCluster {
                serve()
                val first = order(0, "kept-1").body()
                peers.forEach { kill(it.instance) }
                startAll()
                awaitReady()
                assertEquals(listOf(1L, 1L, 1L), peers.indices.map { status(it).revision })
                await("the order's answer is found again") { order(2, "kept-1").statusCode() == 200 }
                assertEquals(first, order(1, "kept-1").body())
            }

        /** Guards against a service that stops, or an order that runs twice, when an instance with a disk dies. */
        @Test
        fun `one of three instances dies, and the others go on`() =
            withCluster {
                serve()
                val first = order(0, "survives-1").body()
                kill(InstanceId("i1"))
                await("an order is taken without the first instance") { order(1, "survives-2").statusCode() == 200 }
                assertEquals(first, order(2, "survives-1").body())
                val answer = complete(1, "hello", "Idempotency-Key" to "survives-3")
                assertContains(answer.body(), DeterministicAnswer.text(RequestId("survives-3"), 5))
            }

        /** Guards against an order that is accepted where it cannot be claimed, and against a refusal that is not true. */
        @Test
        fun `without a quorum orders are refused as not run, and questions are answered`() =
            withCluster {
                serve()
                kill(InstanceId("i1"))
                kill(InstanceId("i2"))
                val refused = order(2, "cut-1")
                assertEquals(503, refused.statusCode(), refused.body())
                assertContains(refused.body(), "\"run_state\":\"not_run\"")
                await("questions are answered by the own failure domain") { complete(2, "hello").statusCode() == 200 }
            }
    }

    @Nested
    inner class LostDisks {
        /** Guards against a wiped disk that votes as if it remembered, and against a loss right after a repair. */
        @Test
        fun `a wiped member counts only after it was added, and then replaces another one that dies`() =
            withCluster {
                serve()
                val first = order(0, "repair-1").body()
                val wiped = InstanceId("i3")
                kill(wiped)
                wipe(wiped)
                start(wiped)
                await("the wiped instance is ready") { get(2, ApiPaths.READINESS).statusCode() == 200 }
                val answer = post(2, ApiPaths.REJOIN, """{"operation_id":"rejoin-1"}""")
                assertEquals(200, answer.statusCode(), answer.body())
                kill(InstanceId("i1"))
                await("an order is taken by the repaired quorum") { order(1, "repair-2").statusCode() == 200 }
                assertEquals(first, order(2, "repair-1").body())
            }
    }

    @Nested
    inner class Orders {
        /** Guards against an order to an engine that is lost, or sent without the fencing number of its leader. */
        @Test
        fun `an order reaches its engine once, with the term of the store leader`() =
            withCluster {
                awaitReady()
                val engine = engine(1) { checksFencing = true }
                assertEquals(PublishOutcome.ACCEPTED, publish().outcome)
                await("the engine serves") { complete(1, "x").statusCode() == 200 }
                val load = """"upstream":"engine-1","kind":"load_model","name":"m","version":"2""""
                val order = """{"operation_id":"load-1",$load}"""
                repeat(2) { assertEquals(200, post(it, ApiPaths.ORDERS, order).statusCode()) }
                await("the order was carried out") { "load-1" in getAt(engine, "/control/orders").body() }
                val executed = getAt(engine, "/control/orders").body()
                assertEquals(1, Regex("load-1").findAll(executed).count())
                assertContains(executed, "\"fencing_number\":${status(0).store.term}")
                await(
                    "its end is recorded",
                ) { peers.indices.any { "order_finished" in get(it, ApiPaths.TIMELINE).body() } }
            }
    }

    @Nested
    inner class LargePrompts {
        /** Guards against a prompt that no engine can hold alone being refused, and against memory it leaves behind. */
        @Test
        fun `a prompt larger than one engine is answered by several, and all of their memory is free again`() =
            withCluster {
                awaitReady()
                val engines = (1..3).map { number -> engine(0) { gangEngine("gang-$number") } }
                assertEquals(PublishOutcome.ACCEPTED, publish().outcome)
                val prompt = "lid ".repeat(10_000)
                await("the large prompt is answered") {
                    complete(0, prompt, "Idempotency-Key" to "gang-1").statusCode() == 200
                }
                await("the engines' memory is free") {
                    engines.all { "\"used_memory_tokens\":0" in getAt(it, "/control/state").body() }
                }
            }

        private fun StandInOptions.gangEngine(name: String) {
            id = name
            memoryTokens = 4_000
            coldPrefillTokens = 20_000
            prefillTokensPerSecond = 1e6
        }
    }

    @Nested
    inner class Drains {
        /** Guards against work that reaches a failure domain, an instance or an upstream that operators took out. */
        @Test
        fun `a drained failure domain takes nothing new until it is brought back`() =
            withCluster {
                serve()
                assertTrue(drain(0, DrainKind.DOMAIN, "sofia-b", isDrained = true).isCommitted)
                await("the drained instance is not ready") { get(1, ApiPaths.READINESS).statusCode() == 503 }
                repeat(10) { number ->
                    val id = "drained-$number"
                    assertEquals(200, complete(0, "hi", "Idempotency-Key" to id).statusCode())
                    val path = "${ApiPaths.TIMELINE}?${ApiPaths.REQUEST_PARAMETER}=$id"
                    assertTrue("engine-1" !in get(0, path).body(), "sent to the drained failure domain")
                }
                assertEquals(503, complete(1, "hi").statusCode())
                drain(2, DrainKind.DOMAIN, "sofia-b", isDrained = false)
                await("the instance is ready again") { complete(1, "hi").statusCode() == 200 }
            }
    }

    @Nested
    inner class PlannedStop {
        /** Guards against a stop that cuts off an answer, or that never ends. */
        @Test
        fun `a stopping instance finishes its streams and exits with 0`() =
            withCluster {
                serve()
                val body = """{"model":"draft-reply","prompt":"x","max_tokens":1500,"stream":true}"""
                val stream = postLater(0, ApiPaths.COMPLETIONS, body, "Idempotency-Key" to "stop-1")
                await("the stream runs") { "first_token" in get(0, ApiPaths.TIMELINE + "?request=stop-1").body() }
                signalStop(InstanceId("i1"))
                await("the instance is not ready") { get(0, ApiPaths.READINESS).statusCode() == 503 }
                assertContains(stream.get(20, TimeUnit.SECONDS).body(), "data: [DONE]")
                assertEquals(0, exits.getValue(InstanceId("i1")).get(20, TimeUnit.SECONDS))
            }
    }

    @Nested
    inner class Documents {
        /** Guards against an accepted document that is lost with the instance that runs it. */
        @Test
        fun `a document is finished although the instance that ran it dies`() =
            withCluster {
                serve()
                val document = ClusterFixture.SERVICES.first().copy(mode = ServiceMode.DOCUMENT, deadlineMs = 60_000)
                assertEquals(PublishOutcome.ACCEPTED, publish(listOf(document), base = 1).outcome)
                await("the document service is in force") { peers.indices.all { status(it).revision == 2L } }
                val accepted = complete(0, "a long one", "Idempotency-Key" to "doc-1", maxTokens = 3_000)
                assertEquals(202, accepted.statusCode(), accepted.body())
                val location = accepted.headers().firstValue("Location").get()
                await("the document is running") { "\"runner\":\"" in get(1, location).body() }
                val runner = Regex("\"runner\":\"([^\"]*)\"").find(get(1, location).body())!!.groupValues[1]
                kill(InstanceId(runner))
                val other = peers.indices.first { peers[it].instance.value != runner }
                // The lease of a lost runner lasts 15 s; the run itself takes a few.
                await("the document is finished elsewhere", deadlineMs = 30_000) {
                    get(other, location).statusCode() ==
                        200
                }
                assertContains(get(other, location).body(), "\"completion_tokens\":3000")
            }
    }
}
