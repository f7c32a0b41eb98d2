package samphirechute.routing.flow.matrix

import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.UpstreamId
import samphirechute.routing.GrantPart

/** An engine with the faults that it currently has. [EngineRun] simulates its attempts. */
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

    /** The attempts that hold memory. */
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

/** A connection from an instance to an engine. Messages lost on it are not sent again. */
internal class FakeConnection(
    var isSilent: Boolean = false,
    var isCut: Boolean = false,
) {
    var onCut: () -> Unit = {}
}
