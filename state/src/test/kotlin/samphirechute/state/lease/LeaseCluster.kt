package samphirechute.state.lease

import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.core.time.VirtualTimer
import samphirechute.state.sim.SimNetwork
import samphirechute.state.sim.SimProcess
import kotlin.random.Random

/** A bug that is planted into the simulation, to prove that the checks detect it. */
enum class PlantedFault {
    GRANTS_EVERY_VOTE,
    NO_WAIT_AFTER_START,
    HOLDER_IGNORES_EXPIRY,
    VOTER_TRUSTS_JUMPS,
    EPOCHS_RESTART,
}

/**
 * Simulates the voters of one failure domain on virtual time. After each event and every 10 ms it checks that there is
 * at most one holder; what it finds goes to [violations].
 */
class LeaseCluster(
    seed: Long,
    size: Int = 3,
    private val planted: PlantedFault? = null,
    clockRates: ClosedFloatingPointRange<Double> = 1.0..1.0,
) {
    val random = Random(seed)
    val timer = VirtualTimer()
    val network = SimNetwork(timer, random)
    val ids = (1..size).map { InstanceId("n$it") }
    val acquired = mutableListOf<Pair<Long, Long>>()
    val violations = mutableListOf<String>()
    private val nodes =
        ids.associateWith {
            Node(
                it,
                SimProcess(
                    timer,
                    random.nextDouble(
                        clockRates.start,
                        clockRates.endInclusive + 1e-9,
                    ),
                ),
            )
        }

    init {
        nodes.values.forEach { it.start() }
        timer.every(CHECK_MS, ::check)
    }

    fun holders(): List<InstanceId> = nodes.values.filter { it.isHolding() }.map { it.id }

    fun knownHolder(id: InstanceId): LeaseHolder? = nodes.getValue(id).lease.holder

    fun kill(id: InstanceId) = nodes.getValue(id).process.kill()

    fun restart(id: InstanceId) = nodes.getValue(id).run { process.kill().also { start() } }

    fun pause(id: InstanceId) = nodes.getValue(id).process.pause()

    fun resume(id: InstanceId) = nodes.getValue(id).process.resume()

    fun jumpClock(
        id: InstanceId,
        byMs: Long,
    ) = nodes.getValue(id).jumpClock(byMs)

    fun feed(
        id: InstanceId,
        input: LeaseInput,
    ) = nodes.getValue(id).handle(input)

    fun isUp(id: InstanceId) = nodes.getValue(id).process.isUp

    fun run(ms: Long) = timer.advanceBy(ms)

    private fun check() {
        if (holders().size > 1) violations += "at ${timer.nowMs()} ms two holders: ${holders()}"
    }

    private inner class Node(
        val id: InstanceId,
        val process: SimProcess,
    ) {
        lateinit var lease: DomainLease
        var isHolder = false

        fun start() {
            process.start()
            isHolder = false
            val incarnation = if (planted == PlantedFault.EPOCHS_RESTART) 1 else WALL_BASE_MS + timer.nowMs()
            val address = HostPort("127.0.0.1", 1)
            val settings = LeaseSettings(id, FailureDomain("d"), address, incarnation, ids.toSet())
            lease = DomainLease(settings, Random(random.nextLong()))
            if (planted == PlantedFault.NO_WAIT_AFTER_START) skipClock(VOTE_MS)
            process.every(TICK_MS) { handle(LeaseInput.Ticked) }
        }

        fun jumpClock(byMs: Long) {
            if (planted == PlantedFault.VOTER_TRUSTS_JUMPS) skipClock(byMs)
            process.jumpClock(byMs)
        }

        fun isHolding(): Boolean {
            if (!process.isUp) return false
            return if (planted == PlantedFault.HOLDER_IGNORES_EXPIRY) isHolder else lease.isHolding(process.nowMs())
        }

        fun handle(input: LeaseInput) = process.run { execute(input) }

        private fun execute(input: LeaseInput) {
            for (output in lease.handle(input, process.nowMs())) {
                when (output) {
                    is LeaseOutput.Send -> deliver(output.to, output.message)
                    is LeaseOutput.Answer -> deliver((input as LeaseInput.Received).from, output.message)
                    is LeaseOutput.Acquired -> onAcquired(output.epoch)
                    is LeaseOutput.Lost -> isHolder = false
                    is LeaseOutput.HolderChanged -> Unit
                }
            }
            check()
        }

        private fun onAcquired(epoch: Long) {
            isHolder = true
            val highest = acquired.maxOfOrNull { it.second } ?: 0
            if (epoch <= highest) violations += "at ${timer.nowMs()} ms epoch $epoch after $highest"
            acquired += timer.nowMs() to epoch
        }

        private fun deliver(
            to: InstanceId,
            message: LeaseMessage,
        ) {
            val isFlipped = planted == PlantedFault.GRANTS_EVERY_VOTE && message is LeaseMessage.Vote
            val sent = if (isFlipped) message.copy(isGranted = true) else message
            network.send(id, to) { nodes.getValue(to).handle(LeaseInput.Received(id, sent)) }
        }

        /** Moves the clock by [byMs] in steps so short that the voter counts them as time that really passed. */
        private fun skipClock(byMs: Long) {
            val now = process.nowMs()
            for (step in 0..byMs step 100) lease.handle(LeaseInput.Ticked, now - byMs + step)
        }
    }

    private companion object {
        const val TICK_MS = 50L
        const val CHECK_MS = 10L
        const val WALL_BASE_MS = 1_700_000_000_000L
    }
}
