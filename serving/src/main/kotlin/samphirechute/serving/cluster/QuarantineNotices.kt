package samphirechute.serving.cluster

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import samphirechute.core.InstanceId
import samphirechute.core.RequestId
import samphirechute.core.RequestTrait
import samphirechute.core.UpstreamId
import samphirechute.routing.quarantine.Crash
import samphirechute.routing.quarantine.Quarantine
import samphirechute.routing.quarantine.QuarantineState
import samphirechute.routing.quarantine.RunEvidence
import samphirechute.routing.quarantine.RunOutcome

/** How one attempt ended, for the instance that decides on quarantines. Ages count back from when it was sent. */
@Serializable
data class RunNotice(
    val request: RequestId,
    val instance: InstanceId,
    val upstream: UpstreamId,
    @SerialName("parts")
    val traits: Set<RequestTrait>,
    val sentAgeMs: Long,
    val endedAgeMs: Long,
    val outcome: RunOutcome,
) {
    fun toEvidence(nowMs: Long) =
        RunEvidence(request, instance, upstream, traits, nowMs - sentAgeMs, nowMs - endedAgeMs, outcome)

    companion object {
        fun of(
            evidence: RunEvidence,
            nowMs: Long,
        ) = RunNotice(
            evidence.request,
            evidence.instance,
            evidence.upstream,
            evidence.traits,
            nowMs - evidence.sentMs,
            nowMs - evidence.endedMs,
            evidence.outcome,
        )
    }
}

/** A quarantine of prompts, or its end, for other instances. Ages count back from when it was sent. */
@Serializable
data class QuarantineNotice(
    @SerialName("parts")
    val traits: Set<RequestTrait>,
    val state: QuarantineState,
    val round: Int,
    val crashes: List<CrashNotice>,
    val decidedBy: InstanceId,
    val decidedAgeMs: Long,
    val probes: Int,
) {
    fun toQuarantine(nowMs: Long) =
        Quarantine(
            traits,
            state,
            round,
            crashes.map { Crash(it.upstream, nowMs - it.endedAgeMs) },
            decidedBy,
            nowMs - decidedAgeMs,
            probes,
        )

    companion object {
        fun of(
            entry: Quarantine,
            nowMs: Long,
        ) = QuarantineNotice(
            entry.traits,
            entry.state,
            entry.round,
            entry.crashes.map { CrashNotice(it.upstream, nowMs - it.endedMs) },
            entry.decidedBy,
            nowMs - entry.decidedMs,
            entry.probes,
        )
    }
}

@Serializable
data class CrashNotice(
    val upstream: UpstreamId,
    val endedAgeMs: Long,
)
