package samphirechute.state.drain

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import samphirechute.core.OperationId
import samphirechute.state.command.DrainTarget

/** All targets that are drained by the log, as of [version]; a higher version replaces a lower one. */
@Serializable
data class DrainRecord(
    @SerialName("v") val version: Long = 0,
    @SerialName("t") val targets: Set<DrainTarget> = emptySet(),
)

/**
 * An order to drain that was given while no store leader could be reached, or that is on its way to one. It holds
 * until the record of [settledVersion], the version that the log gave it, is known. CommandCommitted entries are kept, so
 * that an instance that still has the entry as pending cannot bring it back after an undrain.
 */
@Serializable
data class OverlayEntry(
    @SerialName("o") val operationId: OperationId,
    @SerialName("t") val target: DrainTarget,
    @SerialName("v") val settledVersion: Long? = null,
)
