package samphirechute.daemon.upstream

import samphirechute.core.InstanceId
import samphirechute.core.RequestId
import samphirechute.core.UpstreamId
import samphirechute.net.EventLoop
import samphirechute.net.HttpClient
import samphirechute.routing.Grant
import samphirechute.routing.GrantKey
import samphirechute.routing.GrantPart
import samphirechute.routing.flow.AttemptFailure
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** A client for one upstream that answers twice. */
internal class ProtocolFixture(
    answer: (UpstreamRequest) -> String,
) : AutoCloseable {
    private val upstream = RepeatingUpstream(answer)
    private val loop = EventLoop("test")
    val client = HttpClient(loop)

    /** Starts an attempt at [id], waits for its end and returns what its listener got. */
    fun attempt(
        id: String,
        protocol: UpstreamProtocol,
    ): List<String> {
        val listener = RecordingListener()
        val work = UpstreamWork(grant(id), RequestId(id), 1, 0, LIMIT_MS, useFreshConnection = false)
        loop.post { protocol.start(work, listener) }
        return listener.events.get(2 * LIMIT_MS, TimeUnit.MILLISECONDS)
    }

    /** Borrows the memory of the upstream for [id] and returns whether it was granted. */
    fun borrow(id: String): Boolean {
        val result = CompletableFuture<Boolean>()
        loop.post { GangMemory(client, grant(id, parts = 2), RequestId(id)).borrow { result.complete(it) } }
        return result.get(2 * LIMIT_MS, TimeUnit.MILLISECONDS)
    }

    override fun close() {
        loop.close()
        upstream.close()
    }

    /** A grant with [parts] parts, all at the one upstream; those after the first lend memory. */
    private fun grant(
        id: String,
        parts: Int = 1,
    ) = Grant(
        GrantKey(InstanceId("i1"), RequestId(id), 1),
        1,
        List(parts) { GrantPart(UpstreamId("u-1"), 1, upstream.address, TOKENS, TOKENS) },
    )

    private companion object {
        const val LIMIT_MS = 5_000L
        const val TOKENS = 100L
    }
}

/** Collects the events of an attempt as lines, until it ends. */
private class RecordingListener : AttemptListener {
    val events = CompletableFuture<List<String>>()
    private val lines = mutableListOf<String>()

    override fun onSending() = Unit

    override fun onHead(
        status: Int,
        contentType: String,
        headers: Map<String, String>,
    ) {
        lines += "head $status"
    }

    override fun onTokens(
        requestId: String,
        offset: Long,
        texts: List<String>,
    ) {
        lines += "tokens of $requestId: ${texts.joinToString("")}"
    }

    override fun onEnd(
        requestId: String,
        totalTokens: Long,
        cachedTokens: Long,
    ) {
        events.complete(lines + "end of $requestId")
    }

    override fun onFailure(
        failure: AttemptFailure,
        requestId: String?,
    ) {
        events.complete(lines + "$failure of $requestId")
    }
}
