package samphirechute.routing.flow.matrix

import samphirechute.core.FailureDomain
import samphirechute.core.InstanceId
import samphirechute.core.UpstreamId
import samphirechute.core.time.VirtualTimer
import samphirechute.routing.flow.FlowInput
import samphirechute.routing.flow.FlowOutput
import kotlin.random.Random

/** Changes the outputs of a flow, to plant a violation that the checker must find. */
internal typealias OutputMutator = (FlowInput, List<FlowOutput>) -> List<FlowOutput>

/**
 * Runs one cell of the fault matrix in two failure domains on virtual time.
 *
 * The first instance is in domain A. The store and the two engines that are asked first are in domain B, and the third
 * engine is in A. A caller whose instance dies submits its request again. The caller of a non-repeatable request
 * submits it again after each outcome too, up to [MAX_SUBMISSIONS] in all.
 */
internal class Simulation(
    private val cell: Cell,
    seed: Int,
    private val mutator: OutputMutator = { _, outputs -> outputs },
) {
    val timer = VirtualTimer()
    val random = Random(seed)
    val trace = Trace(cell)
    val store = FakeClaimStore()
    val engines = listOf(FakeEngine(E1, B), FakeEngine(E2, B), FakeEngine(E3, A))
    val coordinators =
        listOf(B, A).map { d ->
            FakeCoordinator(d, engines.filter { it.domain == d }, cell.profile, timer)
        }
    private val drivers = mutableListOf<FlowDriver>()
    private val pending = cell.faults.toMutableList()
    private val pooled = mutableMapOf<Pair<InstanceId, UpstreamId>, FakeConnection>()
    private var isCut = false

    fun run(): Trace {
        timer.every(EXPIRY_MS) { coordinators.forEach { it.expire() } }
        submit()
        while (drivers.any { !it.isFinished } && timer.nowMs() < MAX_RUN_MS) timer.advanceBy(STEP_MS)
        timer.advanceBy(SETTLE_MS)
        for (engine in engines) if (!engine.isSilent) engine.held.mapTo(trace.heldAtEnd) { "${engine.id} $it" }
        for (coordinator in coordinators) coordinator.heldGrants.mapTo(trace.heldAtEnd) { "ledger $it" }
        trace.claimAtEnd = store.status
        return trace
    }

    fun engine(id: UpstreamId) = engines.first { it.id == id }

    fun canReach(
        from: FailureDomain,
        to: FailureDomain,
    ) = !isCut || from == to

    fun pooledConnection(
        instance: InstanceId,
        engine: UpstreamId,
    ) = pooled.getOrPut(instance to engine) { FakeConnection() }

    /** Injects the next faults of the cell if they are due at [step]. */
    fun stepReached(
        step: Step,
        driver: FlowDriver,
    ) {
        while (pending.firstOrNull()?.step == step) {
            trace.injected += pending.first()
            inject(pending.removeFirst().fault, driver)
        }
    }

    /** Lets the caller of a non-repeatable request submit it again after an outcome. */
    fun onOutcomeDelivered(driver: FlowDriver) {
        if (cell.isNonRepeatable && !driver.submission.callerGone) timer.after(RESEND_MS) { submit() }
    }

    private fun submit() {
        if (drivers.size == MAX_SUBMISSIONS) return
        val (instance, domain) = INSTANCES[drivers.size]
        val nowMs = timer.nowMs()
        val submission = Submission(drivers.size, instance, nowMs, nowMs + cell.profile.deadlineMs)
        trace.submissions += submission
        val driver = FlowDriver(this, cell, submission, domain, mutator)
        drivers += driver
        driver.start()
    }

    private fun inject(
        fault: Fault,
        driver: FlowDriver,
    ) {
        val engine = driver.run?.engine ?: engines.first()
        val connection = driver.run?.connection ?: pooledConnection(driver.submission.instance, engine.id)
        when (fault) {
            Fault.ENGINE_DIES -> {
                engine.die()
                timer.after(1) {
                    drivers.forEach {
                        it.run
                            ?.takeIf { run -> run.engine == engine }
                            ?.connection
                            ?.onCut()
                    }
                }
            }

            Fault.ENGINE_COLD -> {
                engine.isCold = true
            }

            Fault.ENGINE_SILENT -> {
                engine.isSilent = true
            }

            Fault.ENGINE_LATE -> {
                engine.isLate = true
            }

            Fault.ENGINE_CROSSED -> {
                engine.isCrossed = true
            }

            Fault.ENGINE_REFUSES -> {
                engine.refuses = true
            }

            Fault.STALE_LOAD -> {
                engine.hasStaleLoad = true
            }

            Fault.CACHE_LOST -> {
                engine.hasLostCache = true
            }

            Fault.INSTANCE_DIES -> {
                driver.die()
                timer.after(RESTART_MS) { store.restarted(driver.claimant) }
                if (!driver.submission.callerGone) timer.after(RESEND_MS) { submit() }
            }

            Fault.CONNECTION_CUT -> {
                connection.isCut = true
                timer.after(1) { connection.onCut() }
            }

            Fault.CONNECTION_SILENT -> {
                connection.isSilent = true
            }

            Fault.COORDINATOR_DIES -> {
                coordinators.first { it.domain == engine.domain }.die()
            }

            Fault.DOMAIN_CUT -> {
                timer.after(CUT_MS) { isCut = true }
                timer.after(HEAL_MS) { isCut = false }
            }

            Fault.CALLER_GONE -> {
                driver.submission.callerGone = true
                timer.after(0) { driver.feed(FlowInput.CallerGone) }
            }
        }
    }

    companion object {
        val A = FailureDomain("a")
        val B = FailureDomain("b")
        private val E1 = UpstreamId("e1")
        private val E2 = UpstreamId("e2")
        private val E3 = UpstreamId("e3")
        private val INSTANCES = listOf(InstanceId("i1") to A, InstanceId("i2") to B, InstanceId("i3") to A)
        private const val MAX_SUBMISSIONS = 3
        private const val EXPIRY_MS = 250L
        private const val RESEND_MS = 50L
        private const val RESTART_MS = 3_000L

        /** Short enough that a claim sent when the fault is injected reaches the store, but its answer is lost. */
        private const val CUT_MS = 3L
        private const val HEAL_MS = 5_000L
        private const val STEP_MS = 500L
        private const val SETTLE_MS = 8_000L
        private const val MAX_RUN_MS = 60_000L
    }
}
