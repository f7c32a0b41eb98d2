package samphirechute.state.sync

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import samphirechute.core.ServiceName
import samphirechute.core.service.ServiceSpec

/** The services of one published revision. Revision 0 is the empty configuration before the first publication. */
@Serializable
data class Configuration(
    val revision: Long = 0,
    val services: List<ServiceSpec> = emptyList(),
)

/**
 * The changes that lead from revision [base], or any later one below [revision], to [revision]. With base 0 it is the
 * whole configuration.
 */
@Serializable
data class ConfigurationUpdate(
    @SerialName("b") val base: Long,
    @SerialName("r") val revision: Long,
    @SerialName("c") val changed: List<ServiceSpec> = emptyList(),
    @SerialName("d") val removed: List<ServiceName> = emptyList(),
)
