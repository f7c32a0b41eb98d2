package samphirechute.daemon.upstream

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.PoolName
import samphirechute.core.RequestId
import samphirechute.core.UpstreamId
import samphirechute.core.engine.Announcement
import samphirechute.daemon.http.RequestError
import samphirechute.routing.CacheEvent
import samphirechute.routing.CacheReport
import samphirechute.routing.UpstreamCapacity
import samphirechute.routing.UpstreamKind
import samphirechute.routing.UpstreamLoad
import samphirechute.routing.UpstreamReport

/** Turns announcements into reports, and refuses those that make no sense. */
internal object AnnouncementReader {
    private val json = Json { ignoreUnknownKeys = true }

    fun read(text: String): Result<UpstreamReport, RequestError> {
        val announcement =
            try {
                json.decodeFromString(Announcement.serializer(), text)
            } catch (error: SerializationException) {
                return invalid(
                    error.message
                        ?.lineSequence()
                        ?.first()
                        .orEmpty(),
                )
            }
        return report(announcement)
    }

    private fun report(announcement: Announcement): Result<UpstreamReport, RequestError> {
        val address = HostPort.parse(announcement.address) ?: return invalid("'address' must be IP:PORT")
        val kind = kind(announcement.kind) ?: return invalid("'kind' must be engine or application")
        problem(announcement, kind)?.let { return invalid(it) }
        return Ok(
            UpstreamReport(
                upstream = UpstreamId(announcement.upstream),
                failureDomain = FailureDomain(announcement.failureDomain),
                address = address,
                generation = announcement.generation,
                sequence = announcement.sequence,
                kind = kind,
                pools = announcement.pools.map(::PoolName).toSet(),
                capacity = capacity(announcement),
                load = load(announcement),
                cache = cache(announcement),
                isLeaving = announcement.leaving,
                checksFencing = announcement.checksFencing,
            ),
        )
    }

    private fun problem(
        announcement: Announcement,
        kind: UpstreamKind,
    ): String? =
        when {
            announcement.upstream.isBlank() -> {
                "'upstream' must not be empty"
            }

            announcement.pools.isEmpty() -> {
                "'pools' must name at least one model or application"
            }

            announcement.maxConcurrency <= 0 -> {
                "'max_concurrency' must be positive"
            }

            announcement.coldConcurrency <= 0 -> {
                "'cold_concurrency' must be positive"
            }

            kind == UpstreamKind.ENGINE && (announcement.memoryTokens ?: 0) <= 0 -> {
                "'memory_tokens' must be positive"
            }

            kind == UpstreamKind.ENGINE && !isPositive(announcement.prefillTokensPerSecond) -> {
                "'prefill_tokens_per_second' must be positive"
            }

            announcement.held.values.any { it < 0 } || announcement.usedMemoryTokens < 0 -> {
                "memory must not be negative"
            }

            else -> {
                null
            }
        }

    private fun isPositive(value: Double?) = value != null && value.isFinite() && value > 0

    private fun kind(name: String) =
        when (name) {
            "engine" -> UpstreamKind.ENGINE
            "application" -> UpstreamKind.APPLICATION
            else -> null
        }

    private fun capacity(announcement: Announcement) =
        UpstreamCapacity(
            maxConcurrency = announcement.maxConcurrency,
            memoryTokens = announcement.memoryTokens ?: Long.MAX_VALUE,
            prefillTokensPerSecond = announcement.prefillTokensPerSecond ?: Double.MAX_VALUE,
            decodeStepMs = announcement.decodeStepMs ?: 0.0,
            coldConcurrency = announcement.coldConcurrency,
            coldPrefillTokens = announcement.coldPrefillTokens,
        )

    private fun load(announcement: Announcement) =
        UpstreamLoad(
            runningRequests = announcement.runningRequests,
            queuedPrefillTokens = announcement.queuedPrefillTokens,
            usedMemoryTokens = announcement.usedMemoryTokens,
            held = announcement.held.mapKeys { RequestId(it.key) },
        )

    private fun cache(announcement: Announcement) =
        CacheReport(
            announcement.cache.firstSequence,
            announcement.cache.nextSequence,
            announcement.cache.events.map { CacheEvent(it.prefixHash, it.prefixTokens, it.present) },
        )

    private fun invalid(problem: String) = Err(RequestError.InvalidBody("invalid announcement: $problem"))
}
