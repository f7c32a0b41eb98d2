package samphirechute.state.sync

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import samphirechute.core.ServiceName
import samphirechute.core.service.ServiceSpec

/** The service set of one revision. Revision 0 is the empty set that no one published. */
@Serializable
data class Configuration(
    val revision: Long = 0,
    val services: List<ServiceSpec> = emptyList(),
)

/**
 * What leads from revision [base], or any later one below [revision], to [revision]. With base 0 it is the whole set.
 */
@Serializable
data class ConfigurationUpdate(
    @SerialName("b") val base: Long,
    @SerialName("r") val revision: Long,
    @SerialName("c") val changed: List<ServiceSpec> = emptyList(),
    @SerialName("d") val removed: List<ServiceName> = emptyList(),
)
