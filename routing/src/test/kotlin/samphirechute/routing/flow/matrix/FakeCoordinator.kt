package samphirechute.routing.flow.matrix

import samphirechute.core.FailureDomain
import samphirechute.core.UpstreamId
import samphirechute.core.time.VirtualTimer
import samphirechute.routing.Grant
import samphirechute.routing.GrantKey

/** Issues grants on the engines of one failure domain. A grant that is not renewed ends after the lease time. */
internal class FakeCoordinator(
    val domain: FailureDomain,
    private val engines: List<FakeEngine>,
    private val profile: Profile,
    private val timer: VirtualTimer,
) {
    var isDead = false
        private set
    private var epoch = 1L
    private val queue = mutableSetOf<GrantKey>()
    private val renewedMs = mutableMapOf<Grant, Long>()

    val heldGrants: Set<Grant> get() = renewedMs.keys

    /** After a time in the queue, calls [reply] with a grant, or with null when all engines are excluded. */
    fun ask(
        key: GrantKey,
        excluded: Set<UpstreamId>,
        reply: (Grant?) -> Unit,
    ) {
        if (isDead) return
        queue += key
        timer.after(QUEUE_MS) {
            if (isDead || !queue.remove(key)) return@after
            val engine = engines.firstOrNull { it.id !in excluded }
            val grant = engine?.let { grant(key, it) }
            if (grant != null) renewedMs[grant] = timer.nowMs()
            reply(grant)
        }
    }

    private fun grant(
        key: GrantKey,
        engine: FakeEngine,
    ) = Grant(
        key = key,
        epoch = epoch,
        parts = listOf(engine.part),
        cachedTokens = if (engine.hasLostCache) CACHED_TOKENS else 0,
        expectedFirstTokenMs = if (profile.tokens == 1) 0 else profile.prefillMs / (if (engine.hasLostCache) 10 else 1),
        expectedTokenMs = profile.tokenMs.toDouble(),
    )

    fun withdraw(key: GrantKey) {
        queue -= key
    }

    fun renew(grant: Grant) {
        if (!isDead) renewedMs[grant] = timer.nowMs()
    }

    fun release(grant: Grant) {
        if (!isDead) renewedMs -= grant
    }

    fun expire() {
        val dueTimeout = renewedMs.filterValues { it + LEASE_MS <= timer.nowMs() }.keys
        for (grant in dueTimeout) engines.first { it.id == grant.primary.upstream }.cancel(grant.key)
        renewedMs -= dueTimeout
    }

    /** Loses all its state. A successor begins a new epoch later. */
    fun die() {
        isDead = true
        queue.clear()
        renewedMs.clear()
        timer.after(SUCCESSION_MS) {
            isDead = false
            epoch++
        }
    }

    private companion object {
        const val QUEUE_MS = 20L
        const val LEASE_MS = 2_000L
        const val SUCCESSION_MS = 3_500L
        const val CACHED_TOKENS = 90L
    }
}
