package samphirechute.routing

import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.PoolName
import samphirechute.core.RequestId
import samphirechute.core.UpstreamId

/**
 * What an upstream said of itself in one announcement. Load and memory figures lag behind, and announcements may be
 * lost or arrive out of order; [sequence] orders those of one [generation].
 */
data class UpstreamReport(
    val upstream: UpstreamId,
    val failureDomain: FailureDomain,
    val address: HostPort,
    val generation: Long,
    val sequence: Long,
    val kind: UpstreamKind,
    val pools: Set<PoolName>,
    val capacity: UpstreamCapacity,
    val load: UpstreamLoad = UpstreamLoad(),
    val cache: CacheReport = CacheReport(),
    val isLeaving: Boolean = false,
    val checksFencing: Boolean = false,
)

enum class UpstreamKind { ENGINE, APPLICATION }

/** What an upstream can carry when warm, and when it has just started. */
data class UpstreamCapacity(
    val maxConcurrency: Int,
    val memoryTokens: Long = Long.MAX_VALUE,
    val prefillTokensPerSecond: Double = Double.MAX_VALUE,
    val decodeStepMs: Double = 0.0,
    val coldConcurrency: Int = 1,
    val coldPrefillTokens: Long = 8_192,
)

/** What an upstream was carrying when it made the report. [held] has the memory of each request, in tokens. */
data class UpstreamLoad(
    val runningRequests: Int = 0,
    val queuedPrefillTokens: Long = 0,
    val usedMemoryTokens: Long = 0,
    val held: Map<RequestId, Long> = emptyMap(),
)

/** Cache events since an earlier report. A gap in [firstSequence] to [nextSequence] means that events were lost. */
data class CacheReport(
    val firstSequence: Long = 0,
    val nextSequence: Long = 0,
    val events: List<CacheEvent> = emptyList(),
)

/** A prefix of [prefixTokens] tokens with this hash entered or left the cache of an engine. */
data class CacheEvent(
    val prefixHash: Long,
    val prefixTokens: Long,
    val isPresent: Boolean,
)
