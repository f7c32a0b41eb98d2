package samphirechute.routing

import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.PoolName
import samphirechute.core.RequestId
import samphirechute.core.UpstreamId

/**
 * The state of an upstream according to one of its announcements. Load and memory figures lag behind the real ones.
 * Announcements may be lost or arrive out of order; [sequence] orders those of one [generation], and a restarted
 * upstream has a higher generation.
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

/** The load an upstream can take when it is warm, and the lower one (`cold...`) right after it has started. */
data class UpstreamCapacity(
    val maxConcurrency: Int,
    val memoryTokens: Long = Long.MAX_VALUE,
    val prefillTokensPerSecond: Double = Double.MAX_VALUE,
    val decodeStepMs: Double = 0.0,
    val coldConcurrency: Int = 1,
    val coldPrefillTokens: Long = 8_192,
)

/** The load of an upstream when it made the report. [held] maps each request to its memory, in tokens. */
data class UpstreamLoad(
    val runningRequests: Int = 0,
    val queuedPrefillTokens: Long = 0,
    val usedMemoryTokens: Long = 0,
    val held: Map<RequestId, Long> = emptyMap(),
)

/**
 * Cache events since an earlier report, numbered from [firstSequence] up to but not including [nextSequence]. Events
 * were lost when [firstSequence] is higher than the [nextSequence] of the previous report.
 */
data class CacheReport(
    val firstSequence: Long = 0,
    val nextSequence: Long = 0,
    val events: List<CacheEvent> = emptyList(),
)

/** The prefix with this hash, [prefixTokens] tokens long, entered or left the cache of an engine. */
data class CacheEvent(
    val prefixHash: Long,
    val prefixTokens: Long,
    val isPresent: Boolean,
)
