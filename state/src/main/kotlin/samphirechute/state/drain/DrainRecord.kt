package samphirechute.state.drain

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import samphirechute.core.OperationId
import samphirechute.state.command.DrainTarget

/** All drained targets by the log at [version]. A record with a higher version replaces one with a lower version. */
@Serializable
data class DrainRecord(
    @SerialName("v") val version: Long = 0,
    @SerialName("t") val targets: Set<DrainTarget> = emptySet(),
)

/**
 * A drain order that is not in the known [DrainRecord] yet, because no store leader could be reached or its commit is
 * under way. [committedVersion] is the version that the log gave it, or null while it is pending. The entry is in force
 * until a record of at least that version is known.
 *
 * Committed entries are kept. Otherwise an instance that still has the entry as pending could spread it again after an
 * undrain.
 */
@Serializable
data class OverlayEntry(
    @SerialName("o") val operationId: OperationId,
    @SerialName("t") val target: DrainTarget,
    @SerialName("v") val committedVersion: Long? = null,
)
