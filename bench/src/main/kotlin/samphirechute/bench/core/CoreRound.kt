package samphirechute.bench.core

import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import samphirechute.bench.system.Answer
import samphirechute.bench.system.Http
import samphirechute.bench.system.RunClock
import samphirechute.bench.system.pause
import samphirechute.platform.ControlApi
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread
import kotlin.random.Random

/**
 * One life of a system: it starts, its core is replaced, everything loses power and starts again, and what was acknowledged
 * must be in force.
 */
internal class CoreRound(
    private val system: CoreSystem,
    private val plan: CorePlan,
    private val random: Random,
) {
    private val clock = RunClock()
    private val versions = Versions()
    private val operator = Operator(system, versions, clock, plan, random)
    private val prober = Prober(system, versions, clock, random)
    private val broken = ArrayList<String>()
    private val isStruck = AtomicBoolean()
    private val struck = CountDownLatch(1)
    private var frozenUntilMs = 0L
    private var unsyncedBytes = 0L
    private var struckMs = Long.MAX_VALUE / 2
    private var backMs = Long.MAX_VALUE / 2

    /** Returns a line for each broken promise. */
    fun play(): List<String> {
        system.start()
        val first = operator.sendOne(START_MS)
        if (first.acknowledgement == null) return listOf("start: version 1 is not acknowledged in $START_MS ms")
        operator.start()
        prober.start()
        try {
            replaceCore()
            loseDisks()
            prober.close()
            checkReads()
            checkEntries()
            checkNext()
        } finally {
            operator.close()
            prober.close()
        }
        broken += operator.refusals
        broken +=
            prober.probes.filter { !it.isAllowed && !isAroundLoss(it) && !it.isAfterPause() }.map { "in_force: $it" }
        println("round_summary $summary")
        return broken
    }

    private val summary get() =
        "versions=${versions.list().size} acknowledged=${versions.list().count { it.acknowledgement != null }} " +
            "probes=${prober.probes.size} statuses=${prober.probes.groupingBy {
                it.status
            }.eachCount()} unsynced_bytes=$unsyncedBytes " +
            "stale_after_pause=${prober.probes.count { !it.isAllowed && it.isAfterPause() }} " +
            "stale_within_recovery=${prober.probes.count { !it.isAllowed && isAroundLoss(it) }}"

    private fun isAroundLoss(probe: Probe) =
        probe.sentMs > struckMs - Operator.CALL_MS && probe.sentMs < backMs + IN_TOUCH_MS

    /** All replacements, the last of which the strike may interrupt. */
    private fun replaceCore() {
        val suspended = system.entries.first().takeIf { plan.suspendsEntry }
        suspended?.child?.signal("STOP")
        for ((index, replacement) in plan.replacements.withIndex()) {
            pause(replacement.pauseMs)
            freeze(index)
            val isLast = index == plan.replacements.lastIndex
            if (!isLast || plan.strike != Strike.IN_REPLACEMENT) {
                replace(replacement)
                continue
            }
            thread(isDaemon = true) { replace(replacement) }
            pause(plan.strikeAfterMs)
            return strike()
        }
        pause(frozenUntilMs - clock.nowMs())
        suspended?.run {
            writeSettings(system.seeds())
            child?.signal("CONT")
        }
        pause(plan.settleMs)
        when (plan.strike) {
            Strike.AFTER_ACKNOWLEDGEMENT -> {
                operator.onAcknowledged = ::strike
            }

            else -> {
                operator.onSent = {
                    thread(isDaemon = true) {
                        pause(plan.strikeAfterMs)
                        strike()
                    }
                }
            }
        }
        if (!struck.await(NO_STRIKE_MS, TimeUnit.MILLISECONDS)) {
            broken += "no_acknowledgement: none in $NO_STRIKE_MS ms before the loss of power"
            strike()
        }
    }

    private fun strike() {
        if (!isStruck.compareAndSet(false, true)) return
        system.cutPower()
        struckMs = clock.nowMs()
        operator.stop()
        struck.countDown()
    }

    private fun freeze(index: Int) {
        val (afterMs, lengthMs) = plan.freezes[index] ?: return
        val chosen = plan.replacements[(index + 1) % plan.replacements.size].control
        val machine = system.core[chosen]
        frozenUntilMs = clock.nowMs() + afterMs + lengthMs
        thread(isDaemon = true) {
            pause(afterMs)
            if (isStruck.get()) return@thread
            machine.child?.signal("STOP")
            pause(lengthMs)
            machine.child?.signal("CONT")
        }
    }

    private fun replace(replacement: Replacement) {
        val old = system.founder(replacement.control)
        val successor = system.successor(replacement.control)
        val before = system.seeds()
        when (replacement.going) {
            Going.SILENT, Going.KILLED -> {
                if (replacement.going == Going.SILENT) old.child?.signal("STOP") else old.child?.kill()
                pause(replacement.gapMs)
                start(replacement, successor, before)
            }

            Going.STOPPED -> {
                start(replacement, successor, before)
                pause(replacement.gapMs)
                if (!isStruck.get()) old.child?.signal("TERM")
            }
        }
    }

    /** The successor's list of addresses is that of before the replacement, or a newer one that names it. */
    private fun start(
        replacement: Replacement,
        successor: CoreSystem.Machine,
        before: List<String>,
    ) {
        if (isStruck.get()) return
        system.listSuccessor(replacement.control)
        successor.start(if (replacement.seedLagMs > replacement.gapMs) before else system.seeds())
        // On a busy machine the start takes seconds, and the time in which the successor counts as lost begins after it.
        while (!successor.hasStarted && !isStruck.get()) pause(POLL_MS)
    }

    private fun loseDisks() {
        pause(plan.downMs)
        system.restorePower { machine ->
            val control = system.core.indexOf(machine)
            if (control == plan.lostDisk) {
                DurableImage.of(machine.data).delete()
            } else {
                unsyncedBytes += DurableImage.of(machine.data).restore(plan.kept, random)
            }
        }
        backMs = clock.nowMs()
        pause(RECOVER_MS)
    }

    /** What the control instances give must be what was sent under a number that is no older than the acknowledged one. */
    private fun checkReads() {
        val floor = versions.floor(clock.nowMs())
        val acknowledged =
            "acknowledged=${floor?.number} by=${floor?.acknowledgement?.by} " +
                "at_ms=${floor?.acknowledgement?.atMs} struck_ms=$struckMs"
        for (machine in system.core) {
            val answer = (1..READ_TRIES).firstNotNullOfOrNull { read(machine) }
            val number =
                answer
                    ?.json()
                    ?.getValue("version")
                    ?.jsonPrimitive
                    ?.long
            val problem =
                when {
                    number == null -> "has no configuration"
                    number < (floor?.number ?: 0) -> "has $number"
                    versions.ofNumber(number).none { it.content == answer.body } -> "has other content under $number"
                    else -> continue
                }
            broken += "read: ${machine.name} $problem $acknowledged"
        }
    }

    private fun read(machine: CoreSystem.Machine): Answer? {
        val address = machine.operatorAddress
        val answer = runCatching { Http.call(address, "GET", ControlApi.CONFIG, limitMs = Operator.CALL_MS) }
        answer.getOrNull()?.takeIf { it.status == Prober.OK }?.let { return it }
        pause(READ_PAUSE_MS)
        return null
    }

    private fun checkEntries() {
        for (entry in system.entries) for (route in prober.routes()) prober.probe(entry, route)
    }

    private fun checkNext() {
        val next = operator.sendOne(NEXT_MS)
        if (next.acknowledgement == null) broken += "next: version ${next.number} is not acknowledged in $NEXT_MS ms"
        pause(Prober.APPLY_MS + 1)
        for (entry in system.entries) prober.probe(entry, next.added)
    }

    private companion object {
        const val START_MS = 30_000L
        const val NO_STRIKE_MS = 12_000L
        const val RECOVER_MS = 12_000L

        /** From then on a machine counts as in touch after a fault of the whole core, twice the time of any other fault. */
        const val IN_TOUCH_MS = 6_000L
        const val NEXT_MS = 4_000L
        const val POLL_MS = 50L
        const val READ_TRIES = 10
        const val READ_PAUSE_MS = 300L
    }
}
