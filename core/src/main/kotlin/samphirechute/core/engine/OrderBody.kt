package samphirechute.core.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/** Orders an engine to load a model or an adapter, or to change its role (`POST /v1/orders`). */
@Serializable
data class OrderBody(
    @SerialName("operation_id") val operationId: String,
    @SerialName("fencing_number") val fencingNumber: Long,
    val order: JsonElement,
)
