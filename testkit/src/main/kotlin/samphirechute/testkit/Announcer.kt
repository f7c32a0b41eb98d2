package samphirechute.testkit

import com.github.michaelbull.result.get
import kotlinx.serialization.json.Json
import samphirechute.core.HostPort
import samphirechute.core.engine.Announcement
import samphirechute.net.ClientRequest
import samphirechute.net.EventLoop
import samphirechute.net.HttpClient

/** Announces an upstream each second to the first instance of a list that accepts it. */
class Announcer(
    private val loop: EventLoop,
    private val client: HttpClient,
    private val targets: List<HostPort>,
    private val key: String?,
    private val announcement: () -> Announcement?,
) {
    private var current = 0

    fun start() {
        announce()
        loop.timer.every(PERIOD_MS, ::announce)
    }

    /** Announces now, besides the regular announcements. */
    fun announce() {
        val next = announcement() ?: return
        if (targets.isNotEmpty()) send(Json.encodeToString(Announcement.serializer(), next), targets.size)
    }

    private fun send(
        body: String,
        triesLeft: Int,
    ) {
        val headers = key?.let { mapOf("Authorization" to "Bearer $it") }.orEmpty()
        val target = targets[current % targets.size]
        val request =
            ClientRequest(target, "POST", "/upstream/v1/announce", body.encodeToByteArray(), headers = headers)
        client.call(request, TIMEOUT_MS) { result ->
            if (result.get()?.status == OK) return@call
            current++
            if (triesLeft > 1) send(body, triesLeft - 1)
        }
    }

    private companion object {
        const val PERIOD_MS = 1_000L
        const val TIMEOUT_MS = 400L
        const val OK = 200
    }
}
