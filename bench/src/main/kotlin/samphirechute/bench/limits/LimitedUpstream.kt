package samphirechute.bench.limits

import com.sun.net.httpserver.Headers
import samphirechute.bench.system.PlatformUpstream
import samphirechute.bench.system.RunClock
import samphirechute.bench.system.UpstreamObserver
import samphirechute.bench.system.UpstreamPlace
import samphirechute.bench.system.pause
import samphirechute.platform.PlatformHeaders
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.ThreadLocalRandom
import java.util.concurrent.atomic.AtomicLong

/** An upstream that names limits and records who sent it requests and whom it told. */
internal class LimitedUpstream(
    val place: UpstreamPlace,
    controls: List<String>,
    private val clock: RunClock,
) : UpstreamObserver,
    AutoCloseable {
    private class Step(
        val fromMs: Long,
        val perS: Double?,
    ) {
        val namedMs = AtomicLong(NEVER)
    }

    private val named = CopyOnWriteArrayList(listOf(Step(BEFORE_RUN_MS, null)))
    val arrivals = ConcurrentLinkedQueue<Contact>()
    val told = ConcurrentLinkedQueue<Contact>()
    val steps get() = named.map { step -> LimitStep(step.fromMs, step.perS, step.namedMs.get().takeIf { it != NEVER }) }
    private val upstream = PlatformUpstream(place, controls, ANNOUNCE_MS, this)
    val executions: Map<String, Int> get() = upstream.executions

    /** Names a limit from now on, or with null none. */
    fun name(perS: Double?) {
        named += Step(clock.nowMs(), perS)
    }

    fun restart(downMs: Long) = upstream.restart(downMs)

    override fun onRequest(
        id: String,
        path: String,
        answer: Headers,
    ): () -> Unit {
        val sender = Callers.entryOf(id)
        if (sender != null) arrivals += Contact(clock.nowMs(), sender, id)
        pause(ThreadLocalRandom.current().nextLong(MAX_WORK_MS))
        val step = named.last()
        step.perS?.let { answer.add(PlatformHeaders.LIMIT, "$it") }
        return {
            if (sender != null) {
                val nowMs = clock.nowMs()
                step.namedMs.compareAndSet(NEVER, nowMs)
                if (step.perS != null) told += Contact(nowMs, sender, id)
            }
        }
    }

    override fun close() = upstream.close()

    private companion object {
        const val NEVER = Long.MAX_VALUE

        /** So long ago that an upstream counts as free of limits when the run begins. */
        const val BEFORE_RUN_MS = -60_000L
        const val ANNOUNCE_MS = 1_200L
        const val MAX_WORK_MS = 40L
    }
}
