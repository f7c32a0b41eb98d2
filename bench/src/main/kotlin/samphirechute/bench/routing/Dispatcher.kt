package samphirechute.bench.routing

import samphirechute.core.RequestId
import samphirechute.routing.GrantEnding
import samphirechute.routing.RefusalReason
import samphirechute.routing.UpstreamReport

/** Decides which engine runs a request: the ledger, or a baseline. */
interface Dispatcher {
    fun ask(
        request: SimRequest,
        nowMs: Long,
    ): List<Decision>

    fun ended(
        request: SimRequest,
        ending: GrantEnding,
        nowMs: Long,
    ): List<Decision>

    fun reported(
        report: UpstreamReport,
        nowMs: Long,
    ): List<Decision> = emptyList()

    fun ticked(nowMs: Long): List<Decision> = emptyList()
}

/** What a dispatcher decided. */
sealed class Decision {
    /** Runs a request on the first of [parts], each with its memory; the others lend theirs. */
    data class Dispatch(
        val id: RequestId,
        val parts: List<Pair<String, Long>>,
        val priority: Int,
        val expectedFirstTokenMs: Long,
    ) : Decision()

    data class Refuse(
        val id: RequestId,
        val reason: RefusalReason,
    ) : Decision()
}
