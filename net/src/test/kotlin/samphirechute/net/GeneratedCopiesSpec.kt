package samphirechute.net

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import org.junit.jupiter.api.Test
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Generated answers and copies of them, whole and broken, on connections that carry many calls. */
class GeneratedCopiesSpec {
    /** Guards against a call that gets the status, the body or the signature of another answer, or parts of two. */
    @Test
    fun `no call succeeds with anything but its own answer`() {
        val wrong = RUNS.mapValues { it.value.wrongAnswers() }
        assertEquals(0, wrong.values.sumOf { it.size }, wrong.map { "seed ${it.key}: ${it.value}" }.joinToString("\n"))
    }

    /** Guards against a test that calls nobody. A copy can break one call, so no more calls fail than copies are sent. */
    @Test
    fun `no more calls fail than copies are written`() =
        RUNS.forEach { (seed, run) ->
            val failures = run.outcomes.count { it.second.get() == null }
            assertTrue(failures <= run.copies, "seed $seed: $failures failures, ${run.copies} copies")
            assertTrue(run.copies in CALLS / 10..CALLS, "seed $seed: ${run.copies} copies")
        }

    /** The calls of one seed, a few at a time; confined to the loop until all have ended. */
    private class Run(
        seed: Int,
    ) : AutoCloseable {
        private val random = Random(seed)
        private val loop = EventLoop("test")
        private val client = HttpClient(loop)
        private val server = CopyingServer(seed)
        private val finished = CompletableFuture<Unit>()
        private val requests = HashMap<String, String>()
        val outcomes = ArrayList<Pair<String, Result<ClientResponse, ClientFailure>>>()
        val copies get() = server.copies

        init {
            repeat(CALLS_AT_A_TIME) { loop.post { next() } }
            finished.get(DEADLINE_S, TimeUnit.SECONDS)
        }

        private fun next() {
            if (requests.size == CALLS) return
            val id = "%016x".format(random.nextLong())
            val method = METHODS.random(random)
            requests[id] = method
            val body = if (method == "POST") random.nextBytes(random.nextInt(1, 300)) else ByteArray(0)
            val request =
                ClientRequest(
                    server.address,
                    method,
                    "/",
                    body,
                    headers = mapOf("Id" to id),
                    isExpectedResponse = { it["Id"] == id },
                )
            client.call(request, TIMEOUT_MS) { result ->
                outcomes += id to result
                if (outcomes.size == CALLS) finished.complete(Unit) else next()
            }
        }

        fun wrongAnswers(): List<String> =
            outcomes.mapNotNull { (id, result) ->
                val got = result.get() ?: return@mapNotNull null
                val given = server.answers[id]
                val parts =
                    listOfNotNull(
                        "status ${got.status} for ${given?.status}".takeIf { got.status != given?.status },
                        "body".takeIf { String(got.body, Charsets.ISO_8859_1) != given?.body },
                        "signature".takeIf { got.headers["signature"] != given?.signature },
                    )
                "${requests[id]} $parts".takeIf { parts.isNotEmpty() }
            }

        override fun close() {
            server.close()
            loop.close()
        }
    }

    private companion object {
        /** The run of each seed, of which each test looks at another side. */
        val RUNS by lazy { (1..3).associateWith { seed -> Run(seed).also { it.close() } } }
        val METHODS = listOf("GET", "GET", "POST", "HEAD")
        const val CALLS = 1_000
        const val CALLS_AT_A_TIME = 16

        /** The stand-in pauses for some milliseconds between pieces, and for no more than a few pieces. */
        const val TIMEOUT_MS = 250L
        const val DEADLINE_S = 30L
    }
}
