package samphirechute.daemon.upstream

import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertEquals

/** Engines that answer twice, the second time late; only the body of an answer names its request. */
class EngineCopySpec {
    private fun tokens(id: String) =
        RepeatingUpstream.wire(
            200,
            """{"request_id":"$id","offset":0,"text":"answer to $id"}""" + "\n" +
                """{"request_id":"$id","done":true,"total_tokens":1}""" + "\n",
            "Content-Type: application/x-ndjson",
        )

    private fun refusal(id: String) = RepeatingUpstream.wire(429, """{"request_id":"$id","code":"full"}""")

    /** Returns what the attempts at [ids] get from an engine that answers with [answers] in turn. */
    private fun attempts(
        ids: List<String>,
        vararg answers: (String) -> String,
    ): List<List<String>> {
        val turns = AtomicInteger()
        val fixture = ProtocolFixture { answers[turns.getAndIncrement() % answers.size](it.id) }
        return fixture.use { ids.map { id -> it.attempt(id, EngineProtocol(it.client, "m", "prompt", 1, 1)) } }
    }

    private fun own(id: String) = listOf("head 200", "tokens of $id: answer to $id", "end of $id")

    private val ids = List(4) { "r-$it" }

    /** Guards against an attempt that is lost to the tokens and the end of another answer, and runs again. */
    @Test
    fun `each request gets its own tokens and end`() = assertEquals(ids.map(::own), attempts(ids, ::tokens))

    /** Guards against the refusal of another request in place of the answer to one that runs, and the reverse. */
    @Test
    fun `an answer is not mistaken for a refusal, nor a refusal for an answer`() {
        val expected = listOf(listOf("REFUSED of r-0"), own("r-1"), listOf("REFUSED of r-2"), own("r-3"))
        assertEquals(expected, attempts(ids, ::refusal, ::tokens))
    }

    /** Guards against a request that counts as not run, and runs elsewhere too, since its first refusal came again. */
    @Test
    fun `a request that was refused and sent again gets the answer of its second sending`() =
        assertEquals(listOf(listOf("REFUSED of r-0"), own("r-0")), attempts(listOf("r-0", "r-0"), ::refusal, ::tokens))
}
