package samphirechute.core.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The report that an upstream sends about itself each second (`POST /upstream/v1/announce`). Memory is in tokens. */
@Serializable
data class Announcement(
    val upstream: String,
    @SerialName("failure_domain") val failureDomain: String,
    val address: String,
    val generation: Long,
    val sequence: Long,
    /** `engine` or `application`. */
    val kind: String,
    val pools: List<String>,
    @SerialName("max_concurrency") val maxConcurrency: Int,
    @SerialName("memory_tokens") val memoryTokens: Long? = null,
    @SerialName("prefill_tokens_per_second") val prefillTokensPerSecond: Double? = null,
    @SerialName("decode_step_ms") val decodeStepMs: Double? = null,
    @SerialName("cold_concurrency") val coldConcurrency: Int = 1,
    @SerialName("cold_prefill_tokens") val coldPrefillTokens: Long = 8_192,
    @SerialName("running_requests") val runningRequests: Int = 0,
    @SerialName("queued_prefill_tokens") val queuedPrefillTokens: Long = 0,
    @SerialName("used_memory_tokens") val usedMemoryTokens: Long = 0,
    /** Memory that the engine holds for each request, in tokens by request identifier. */
    val held: Map<String, Long> = emptyMap(),
    val cache: CacheEvents = CacheEvents(),
    val leaving: Boolean = false,
    @SerialName("checks_fencing") val checksFencing: Boolean = false,
)

/** Cache events with sequence numbers from [firstSequence] (inclusive) to [nextSequence] (exclusive). */
@Serializable
data class CacheEvents(
    @SerialName("first_sequence") val firstSequence: Long = 0,
    @SerialName("next_sequence") val nextSequence: Long = 0,
    val events: List<PrefixEvent> = emptyList(),
)

@Serializable
data class PrefixEvent(
    @SerialName("prefix_hash") val prefixHash: Long,
    @SerialName("prefix_tokens") val prefixTokens: Long,
    val present: Boolean,
)
