package samphirechute.core.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import samphirechute.core.RequestId

/**
 * Asks an engine to retain the memory of a request for another engine (`POST /v1/kv/export`), to lend memory to a
 * request that runs on another engine (`POST /v1/kv/import`), or to free either (`POST /v1/kv/release`, without
 * [tokens]).
 */
@Serializable
data class KvBody(
    @SerialName("request_id") val requestId: RequestId,
    val tokens: Long = 0,
)
