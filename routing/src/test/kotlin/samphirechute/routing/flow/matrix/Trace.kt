package samphirechute.routing.flow.matrix

import samphirechute.core.InstanceId
import samphirechute.routing.Grant
import samphirechute.routing.flow.FlowOutcome

/** What happened in the run of one cell, as observed from outside the flow. */
internal class Trace(
    val cell: Cell,
) {
    val submissions = mutableListOf<Submission>()
    val executions = mutableListOf<Execution>()
    val injected = mutableListOf<InjectedFault>()
    val heldAtEnd = mutableListOf<String>()
    var claimAtEnd = ClaimStatus.NONE
}

/** One submission of the request by its caller to an instance. */
internal class Submission(
    val index: Int,
    val instance: InstanceId,
    val startMs: Long,
    val deadlineMs: Long,
) {
    var diedMs: Long? = null
    var callerGone = false
    var hasClaim = false

    /** True when the store answered the claim, so the submission knows whether the request may have run before. */
    var hasAskedStore = false
    var idleMs: Long? = null
    val outcomes = mutableListOf<Pair<Long, FlowOutcome>>()
    val delivered = mutableListOf<Pair<Long, String>>()
    val runs = mutableListOf<EngineRun>()
    val releases = mutableMapOf<Grant, Int>()
}

/** An engine began to run the request for [submission]. */
internal data class Execution(
    val submission: Int,
    val atMs: Long,
)

internal enum class ClaimStatus { NONE, RUNNING, RELEASED, FINISHED, UNKNOWN }
