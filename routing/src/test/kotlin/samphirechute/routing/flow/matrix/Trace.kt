package samphirechute.routing.flow.matrix

import samphirechute.core.InstanceId
import samphirechute.routing.Grant
import samphirechute.routing.flow.FlowOutcome

/** What happened in one cell, as seen from outside the flow. */
internal class Trace(
    val cell: Cell,
) {
    val submissions = mutableListOf<Submission>()
    val executions = mutableListOf<Execution>()
    val injected = mutableListOf<InjectedFault>()
    val heldAtEnd = mutableListOf<String>()
    var claimAtEnd = ClaimStatus.NONE
}

/** One sending of the request to one instance. */
internal class Submission(
    val index: Int,
    val instance: InstanceId,
    val startMs: Long,
    val deadlineMs: Long,
) {
    var diedMs: Long? = null
    var callerGone = false
    var hasClaim = false

    /** The store has told this submission of the claim, so it knows whether the request may have run before. */
    var hasAskedStore = false
    var idleMs: Long? = null
    val outcomes = mutableListOf<Pair<Long, FlowOutcome>>()
    val delivered = mutableListOf<Pair<Long, String>>()
    val runs = mutableListOf<EngineRun>()
    val releases = mutableMapOf<Grant, Int>()
}

/** An upstream began to run the request for a submission. */
internal data class Execution(
    val submission: Int,
    val atMs: Long,
)

internal enum class ClaimStatus { NONE, RUNNING, RELEASED, FINISHED, UNKNOWN }
