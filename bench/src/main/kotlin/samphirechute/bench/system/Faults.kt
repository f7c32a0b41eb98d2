package samphirechute.bench.system

import java.util.Locale
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** A fault of [target], which is the name of a process or an upstream. */
internal class Fault(
    val target: String,
    val kind: String,
    val fromMs: Long,
) {
    /** Later than any other time while the fault lasts. */
    @Volatile var untilMs = Long.MAX_VALUE / 2

    override fun toString() = "%.3f_%s_%s".format(Locale.ROOT, fromMs / 1_000.0, kind, target)
}

/** Carries out faults at their times. A target that has a fault gets no other one until it has ended. */
internal class Faults(
    private val clock: RunClock,
    threads: Int,
) : AutoCloseable {
    private val timer = Executors.newScheduledThreadPool(threads) { Thread(it).apply { isDaemon = true } }
    private val busy = ConcurrentHashMap.newKeySet<String>()
    val all = ConcurrentLinkedQueue<Fault>()

    fun schedule(
        atMs: Long,
        action: () -> Unit,
    ) {
        val logged = { runCatching(action).onFailure { println("fault_failed at_ms=${clock.nowMs()} cause=$it") } }
        timer.schedule({ logged() }, atMs - clock.nowMs(), TimeUnit.MILLISECONDS)
    }

    /** Waits until faults that last have ended. */
    override fun close() {
        timer.shutdown()
        timer.awaitTermination(END_SECONDS, TimeUnit.SECONDS)
    }

    fun kill(
        targets: List<Child>,
        downMs: Long,
        suffix: String = "",
    ) {
        val free = targets.filter { it.shortName !in busy }
        during(free.map { it.shortName }, "kill$suffix") {
            free.forEach { it.kill() }
            pause(downMs)
            free.forEach { it.restart() }
        }
    }

    fun freeze(
        target: Child,
        durationMs: Long,
    ) = during(listOf(target.shortName), "freeze") {
        target.signal("STOP")
        pause(durationMs)
        target.signal("CONT")
    }

    fun during(
        targets: List<String>,
        kind: String,
        action: () -> Unit,
    ) {
        val taken = targets.filter(busy::add)
        try {
            if (taken.size == targets.size) {
                val faults = targets.map { Fault(it, kind, clock.nowMs()) }
                all += faults
                action()
                faults.forEach { it.untilMs = clock.nowMs() }
            }
        } finally {
            busy -= taken.toSet()
        }
    }

    private companion object {
        const val END_SECONDS = 30L
    }
}

/** The name of the instance without the prefix of the system that it belongs to. */
internal val Child.shortName get() = name.substringAfter('-')
