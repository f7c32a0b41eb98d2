package samphirechute.serving.control

import samphirechute.core.InstanceId
import samphirechute.serving.cluster.LogPosition

/** What became of a configuration that an operator has sent. */
sealed class AdoptOutcome {
    /** The store has committed it, or a newer one before it, at [position] if the leader named it. */
    data class Committed(
        val position: LogPosition?,
    ) : AdoptOutcome()

    /** The state of this member, at [position], holds it or a newer one. */
    data class Held(
        val position: LogPosition,
    ) : AdoptOutcome()

    /** It may or may not be committed. [leader] is the last one known. */
    data class TimedOut(
        val leader: InstanceId?,
    ) : AdoptOutcome()
}
