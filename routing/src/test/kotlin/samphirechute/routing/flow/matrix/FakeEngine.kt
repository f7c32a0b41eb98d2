package samphirechute.routing.flow.matrix

import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.UpstreamId
import samphirechute.routing.GrantPart

/** An upstream that runs one request at a time per attempt, and what is wrong with it. */
internal class FakeEngine(
    val id: UpstreamId,
    val domain: FailureDomain,
) {
    var isDead = false
    var isCold = false
    var isSilent = false
    var isLate = false
    var isCrossed = false
    var refuses = false
    var hasStaleLoad = false
    var hasLostCache = false

    /** The memory held, by what holds it. */
    val held = mutableSetOf<Any>()

    val part get() = GrantPart(id, 1, HostPort("127.0.0.1", 1), memoryTokens = 100, prefillTokens = 100)

    val slowdown get() = (if (isCold) COLD_FACTOR else 1) * (if (hasStaleLoad) STALE_FACTOR else 1)

    fun cancel(key: Any) {
        if (!isSilent) held -= key
    }

    fun die() {
        isDead = true
        held.clear()
    }

    private companion object {
        const val COLD_FACTOR = 5
        const val STALE_FACTOR = 4
    }
}

/** One connection from an instance to an engine; what was lost on it stays lost. */
internal class FakeConnection(
    var isSilent: Boolean = false,
    var isCut: Boolean = false,
) {
    var onCut: () -> Unit = {}
}
