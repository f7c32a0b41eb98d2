package samphirechute.state.sim

import samphirechute.core.InstanceId
import samphirechute.core.OperationId
import samphirechute.core.RequestId
import samphirechute.core.ServiceName
import samphirechute.core.TeamName
import samphirechute.state.command.ClaimKey
import samphirechute.state.command.ClaimResult
import samphirechute.state.command.ClaimState
import samphirechute.state.command.Claimant
import samphirechute.state.command.Command
import samphirechute.state.command.CommandResult
import samphirechute.state.command.DrainTarget
import samphirechute.state.raft.ProposalOutcome
import samphirechute.state.raft.RaftTimings

/** Runs callers and random faults on a simulated store. Every run with the same seed is identical. */
internal class RandomSchedule(
    private val seed: Long,
    newDisk: () -> SimDisk = ::ValueDisk,
    /** Plants a fault for tests of the checker: callers also run requests whose claim another caller holds. */
    ignoresClaims: Boolean = false,
) {
    private val timings =
        RaftTimings(snapshotEntries = 12, trailingEntries = 6, catchUpEntries = 2, maxInFlightEntries = 8)
    private val cluster = SimCluster(seed, timings = timings, newDisk = newDisk)
    private val random = cluster.random
    private val callers = Callers(cluster, ignoresClaims)

    /** Returns the violations found, or the exception that ended the run. */
    fun run(): List<String> =
        try {
            if (!cluster.runUntil(SETTLE_MS) { cluster.isSettled }) listOf("the store did not start") else runSteps()
        } catch (e: IllegalStateException) {
            listOf("seed $seed: ${e.stackTraceToString().take(TRACE_CHARS)}")
        }

    private fun runSteps(): List<String> {
        repeat(STEPS) {
            if (random.nextInt(3) == 0) injectFault() else callers.act()
            cluster.run(random.nextLong(MAX_STEP_MS))
            callers.recordReads()
        }
        cluster.heal()
        val isSettled =
            cluster.runUntil(SETTLE_MS) {
                cluster.readdWipedMember()
                cluster.isSettled
            }
        val violations = cluster.history.violations(cluster.nodes.values.mapNotNull { it.raft?.state })
        return if (isSettled) violations else violations + "the members did not settle: ${cluster.describe()}"
    }

    private fun injectFault() {
        val nodes = cluster.nodes.values.toList()
        val node = nodes.random(random)
        when (random.nextInt(FAULTS)) {
            0 -> node.kill()
            1 -> node.restart()
            2 -> cluster.network.cut(node.instance, nodes.random(random).instance)
            3 -> nodes.forEach { cutBoth(node, it) }
            4 -> cluster.network.heal()
            5 -> node.isDiskHung = !node.isDiskHung
            6 -> node.isDiskBroken = true
            7 -> node.wallSkewMs = random.nextLong(-DAY_MS, 2 * DAY_MS)
            8 -> cluster.network.lossPercent = random.nextInt(LOSS_PERCENT)
            9 -> cluster.network.duplicatePercent = random.nextInt(LOSS_PERCENT)
            10 -> cluster.network.maxDelayMs = random.nextLong(1, MAX_DELAY_MS)
            11 -> wipe(node)
            12 -> cluster.readdWipedMember()
            else -> nodes.filter { it.raft == null || it.stopped != null }.forEach(::restartWithWorkingDisk)
        }
    }

    private fun cutBoth(
        one: SimCluster.SimNode,
        other: SimCluster.SimNode,
    ) {
        cluster.network.cut(one.instance, other.instance)
        cluster.network.cut(other.instance, one.instance)
    }

    private fun restartWithWorkingDisk(node: SimCluster.SimNode) {
        node.isDiskBroken = false
        node.restart()
    }

    /** Wipes a disk only while all members agree: two wiped disks at once are a majority, which no log survives. */
    private fun wipe(node: SimCluster.SimNode) {
        if (cluster.isSettled) node.wipe()
    }

    private companion object {
        const val STEPS = 30
        const val FAULTS = 16
        const val MAX_STEP_MS = 120L
        const val SETTLE_MS = 20_000L
        const val DAY_MS = 86_400_000L
        const val LOSS_PERCENT = 30
        const val MAX_DELAY_MS = 200L
        const val TRACE_CHARS = 1_200
    }
}

/** Simulates callers and operators that publish, drain and run non-repeatable requests, in part with resends. */
internal class Callers(
    private val cluster: SimCluster,
    private val ignoresClaims: Boolean = false,
) {
    private val random = cluster.random
    private val running = mutableListOf<Pair<ClaimKey, Claimant>>()
    private var nextOperation = 1

    /** Performs one random action on a random member or the leader. */
    fun act() {
        val node =
            cluster.nodes.values
                .filter { it.raft != null }
                .randomOrNull(random) ?: return
        val at = if (random.nextBoolean()) node else cluster.leader ?: node
        when (random.nextInt(ACTIONS)) {
            0 -> {
                publish(at)
            }

            1 -> {
                cluster.propose(
                    at,
                    Command.SetDrain(operation(), DrainTarget.Instance(node.instance), random.nextBoolean()),
                )
            }

            2 -> {
                finish(at)
            }

            3 -> {
                release(at)
            }

            else -> {
                claim(at)
            }
        }
    }

    fun recordReads() {
        val nowMs = cluster.timer.nowMs()
        val states =
            cluster.nodes.values.mapNotNull { node ->
                node.raft?.readableState(nowMs)?.let {
                    node.instance to
                        it
                }
            }
        cluster.history.recordReads(states)
    }

    private fun publish(at: SimCluster.SimNode) {
        val base = at.raft?.state?.revision ?: 0
        val command = Command.PublishConfig(operation(), base, emptyList())
        cluster.propose(at, command)
        if (random.nextBoolean()) cluster.propose(at, command)
    }

    private fun claim(at: SimCluster.SimNode) {
        val key = ClaimKey(TeamName("team"), ServiceName("booking"), RequestId("r${random.nextInt(KEYS)}"))
        val claimant = Claimant(InstanceId("entry-${random.nextInt(3)}"), cluster.timer.nowMs() / INCARNATION_MS)
        val deadline = SimCluster.START_WALL_MS + cluster.timer.nowMs() + random.nextLong(DEADLINE_MS)
        cluster.propose(at, Command.ClaimRequest(key, "digest", claimant, deadline)) { outcome ->
            val result = (outcome as? ProposalOutcome.Committed)?.result
            val state = (result as? CommandResult.Claim)?.state
            if (state == ClaimState.Accepted || (ignoresClaims && state is ClaimState.Running)) {
                if (random.nextInt(4) == 0) {
                    cluster.propose(at, Command.ReleaseClaim(key, claimant))
                } else {
                    cluster.history.recordRun(key)
                    running += key to claimant
                }
            }
        }
    }

    private fun finish(at: SimCluster.SimNode) {
        val (key, claimant) = running.randomOrNull(random) ?: return
        cluster.propose(at, Command.FinishClaim(key, claimant, ClaimResult(200, "text/plain", "done")))
    }

    /** A restarted instance tries to release a claim of its earlier incarnation, which must not succeed. */
    private fun release(at: SimCluster.SimNode) {
        val (key, claimant) = running.randomOrNull(random) ?: return
        cluster.propose(at, Command.ReleaseClaim(key, claimant.copy(incarnation = claimant.incarnation + 1)))
    }

    private fun operation() = OperationId("operation-${nextOperation++}")

    private companion object {
        const val ACTIONS = 8
        const val KEYS = 6
        const val INCARNATION_MS = 700L
        const val DEADLINE_MS = 3_000L
    }
}
