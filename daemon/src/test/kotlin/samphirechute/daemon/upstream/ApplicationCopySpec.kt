package samphirechute.daemon.upstream

import io.netty.handler.codec.http.DefaultHttpHeaders
import samphirechute.net.ServerRequest
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertEquals

/** Plain services that answer twice, the second time late. */
class ApplicationCopySpec {
    private val request = ServerRequest("GET", "/stock", DefaultHttpHeaders(), ByteArray(0))

    /** Returns what the callers of four requests get, which the service answers with 200 and 500 in turn. */
    private fun answers(fieldsFor: (String) -> List<String>): List<List<String>> {
        val turns = AtomicInteger()
        val fixture =
            ProtocolFixture { call ->
                val status = if (turns.getAndIncrement() % 2 == 0) 200 else 500
                RepeatingUpstream.wire(status, "body of ${call.id}", *fieldsFor(call.id).toTypedArray())
            }
        return fixture.use {
            List(4) { number ->
                it.attempt("r-$number", ApplicationProtocol(it.client, request, "/stock"))
            }
        }
    }

    private val own =
        List(4) { number ->
            val status = if (number % 2 == 0) 200 else 500
            listOf("head $status", "tokens of r-$number: body of r-$number", "end of r-$number")
        }

    /** Guards against the copy of an answer to another caller, with its status, in place of the own answer. */
    @Test
    fun `each request gets its own answer from a service that names no request`() =
        assertEquals(own, answers { emptyList() })

    /** Guards against a request that fails although it was answered, since the copy of another answer came first. */
    @Test
    fun `each request gets its own answer from a service that names the request`() =
        assertEquals(own, answers { listOf("X-Request-Id: $it") })
}
