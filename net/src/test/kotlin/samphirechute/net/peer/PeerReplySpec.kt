package samphirechute.net.peer

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.serialization.builtins.serializer
import samphirechute.net.LoopbackFixture
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Calls between instances, which bear no number: a reply is told from others by the connection alone. */
class PeerReplySpec {
    private val route = PeerRoute("/peer/v1/echo", String.serializer(), String.serializer())
    private val api = PeerApi()
    private val fixture = LoopbackFixture { api.handle(it) }
    private val client = PeerClient(fixture.client)

    /** Calls the server with [message] and waits for the result. */
    private fun call(
        message: String,
        timeoutMs: Long = LoopbackFixture.DEADLINE_MS,
    ): Result<String, PeerError> {
        val result = CompletableFuture<Result<String, PeerError>>()
        fixture.loop.post { client.call(fixture.address, route, message, timeoutMs) { result.complete(it) } }
        return result.get(2 * LoopbackFixture.DEADLINE_MS, TimeUnit.MILLISECONDS)
    }

    /** Guards against a handler that answers again during the next call on the connection. */
    @Test
    fun `a second reply is not taken for the reply to the next call`() =
        fixture.use {
            val answered = mutableListOf<PeerExchange<String>>()
            api.on(route) { message, exchange ->
                answered.forEach { it.answer("again") }
                answered += exchange
                exchange.answer(message)
            }
            assertEquals(listOf<String?>("1", "2", "3"), listOf("1", "2", "3").map { call(it).get() })
        }

    /** Guards against a connection that stays open after a timeout, on which the late reply precedes the next one. */
    @Test
    fun `a reply after its timeout is not taken for the reply to the next call`() =
        fixture.use {
            val unanswered = mutableListOf<Pair<String, PeerExchange<String>>>()
            api.on(route) { message, exchange ->
                if (message == "late") {
                    unanswered += message to exchange
                } else {
                    unanswered.forEach { (late, held) -> held.answer(late) }
                    exchange.answer(message)
                }
            }
            assertEquals("1", call("1").get())
            assertIs<PeerError.Lost>(call("late", TIMEOUT_MS).getError())
            assertEquals(listOf<String?>("2", "3"), listOf("2", "3").map { call(it).get() })
        }

    private companion object {
        const val TIMEOUT_MS = 100L
    }
}
