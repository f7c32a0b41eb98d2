package samphirechute.bench.routing

import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.RequestId
import samphirechute.core.UpstreamId
import samphirechute.core.time.TimerService
import samphirechute.routing.CacheEvent
import samphirechute.routing.CacheReport
import samphirechute.routing.UpstreamKind
import samphirechute.routing.UpstreamLoad
import samphirechute.routing.UpstreamReport
import kotlin.math.roundToLong

/**
 * A small model of an engine with continuous batching: each step decodes one token of every running sequence and
 * prefills one chunk, in order of priority. Memory is limited; what does not fit waits inside. After a start it is
 * slow and may be given little; more than that counts as an overload.
 */
class FakeEngine(
    val name: String,
    private val domain: FailureDomain,
    private val timer: TimerService,
    private val isWarmAtStart: Boolean = true,
    private val onToken: (SimRequest, Long) -> Unit,
    private val onDone: (SimRequest) -> Unit,
) {
    var overloads = 0
        private set
    var doneTokens = 0L
        private set
    var isLeaving = false
    var generation = 1L
        private set

    private val jobs = ArrayList<Job>()
    private val lent = HashMap<RequestId, Long>()
    private val cache =
        object : LinkedHashMap<Long, Long>(16, 0.75f, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Long, Long>): Boolean {
                if (size <= CACHED_PREFIXES) return false
                events += CacheEvent(eldest.key, eldest.value, isPresent = false)
                return true
            }
        }
    private val events = ArrayList<CacheEvent>()
    private var eventsReported = 0L
    private var coldSinceMs: Long? = null
    private var sequence = 0L
    private var isStepping = false
    private var stepEndMs = 0.0

    init {
        if (!isWarmAtStart) coldSinceMs = timer.nowMs()
    }

    val outstanding: Int get() = jobs.size

    /** Restarts cold; everything that ran is lost, and returned. */
    fun restart(): List<SimRequest> {
        val lost = jobs.map { it.request }
        jobs.clear()
        lent.clear()
        cache.clear()
        events.clear()
        eventsReported = 0
        generation++
        sequence = 0
        coldSinceMs = timer.nowMs()
        return lost
    }

    fun submit(
        request: SimRequest,
        priority: Int,
    ) {
        val cached = request.prefix?.let { if (cache[it.hash] != null) it.tokens else 0L } ?: 0L
        request.cachedTokens = cached
        request.prefix?.let {
            if (cache.put(it.hash, it.tokens) == null) events += CacheEvent(it.hash, it.tokens, isPresent = true)
        }
        jobs += Job(request, priority, request.promptTokens - cached)
        countOverload()
        if (!isStepping) startStep(timer.nowMs().toDouble())
    }

    /** Reserves memory for a gang that another engine answers. */
    fun lend(
        id: RequestId,
        tokens: Long,
    ) {
        lent[id] = tokens
    }

    fun giveBack(id: RequestId) {
        lent -= id
    }

    fun report(): UpstreamReport {
        val held = jobs.filter { it.isStarted }.associate { it.request.id to it.memoryTokens } + lent
        val from = eventsReported
        val fresh = events.toList()
        events.clear()
        eventsReported += fresh.size
        return UpstreamReport(
            upstream = UpstreamId(name),
            failureDomain = domain,
            address = HostPort("127.0.0.1", 1),
            generation = generation,
            sequence = ++sequence,
            kind = UpstreamKind.ENGINE,
            pools = setOf(SimRequest.POOL),
            capacity = EngineModel.CAPACITY,
            load =
                UpstreamLoad(
                    runningRequests = jobs.size + lent.size,
                    queuedPrefillTokens = jobs.sumOf { it.prefillLeft },
                    usedMemoryTokens = held.values.sum(),
                    held = held,
                ),
            cache = CacheReport(from, eventsReported, fresh),
            isLeaving = isLeaving,
        )
    }

    /** How far the engine has warmed up, from 0 to 1. */
    private fun warmth(): Double {
        val since = coldSinceMs ?: return 1.0
        return ((timer.nowMs() - since).toDouble() / EngineModel.WARM_UP_MS).coerceAtMost(1.0)
    }

    private fun countOverload() {
        val warmth = warmth()
        if (warmth >= 1.0) return
        val span = EngineModel.MAX_CONCURRENCY - EngineModel.COLD_CONCURRENCY
        val bearable = EngineModel.COLD_CONCURRENCY + span * warmth
        val prefill = EngineModel.COLD_PREFILL_TOKENS * (1 + warmth * WARM_PREFILL_FACTOR)
        val isBeyond = jobs.size > bearable || jobs.sumOf { it.prefillLeft } > prefill
        if (isBeyond) overloads++
    }

    private fun startStep(fromMs: Double) {
        admit()
        val active = jobs.filter { it.isStarted }
        if (active.isEmpty()) {
            isStepping = false
            return
        }
        isStepping = true
        val speed = EngineModel.COLD_SPEED + (1 - EngineModel.COLD_SPEED) * warmth()
        var chunk = EngineModel.CHUNK_TOKENS
        val prefilled = ArrayList<Pair<Job, Long>>()
        for (job in active.filter { it.prefillLeft > 0 }.sortedBy { it.priority }) {
            if (chunk == 0L) break
            val part = minOf(chunk, job.prefillLeft)
            prefilled += job to part
            chunk -= part
        }
        val decoding = active.filter { it.prefillLeft == 0L }
        val tokens = EngineModel.CHUNK_TOKENS - chunk
        stepEndMs = fromMs + (EngineModel.DECODE_STEP_MS + tokens * EngineModel.CHUNK_TOKEN_MS) / speed
        val started = generation
        timer.after((stepEndMs - timer.nowMs()).roundToLong().coerceAtLeast(1)) {
            if (generation == started) endStep(prefilled, decoding) else isStepping = false
            if (!isStepping && jobs.isNotEmpty()) startStep(timer.nowMs().toDouble())
        }
    }

    private fun endStep(
        prefilled: List<Pair<Job, Long>>,
        decoding: List<Job>,
    ) {
        for ((job, part) in prefilled) {
            job.prefillLeft -= part
            if (job.prefillLeft == 0L) emit(job)
        }
        decoding.forEach(::emit)
        val done = jobs.filter { it.generated >= it.request.answerTokens }
        jobs.removeAll { it.generated >= it.request.answerTokens }
        done.forEach {
            doneTokens += it.request.promptTokens + it.request.answerTokens
            onDone(it.request)
        }
        startStep(stepEndMs)
    }

    private fun emit(job: Job) {
        val nowMs = timer.nowMs()
        if (job.generated++ == 0L) job.request.firstMs = nowMs else onToken(job.request, nowMs - job.lastMs)
        job.lastMs = nowMs
    }

    /** Lets waiting sequences in as memory allows, in order of priority. */
    private fun admit() {
        var free =
            EngineModel.MEMORY_TOKENS - lent.values.sum() - jobs.sumOf { if (it.isStarted) it.memoryTokens else 0L }
        var slots = EngineModel.MAX_CONCURRENCY - jobs.count { it.isStarted }
        for (job in jobs.filter { !it.isStarted }.sortedBy { it.priority }) {
            if (slots == 0 || job.memoryTokens > free) return
            job.isStarted = true
            free -= job.memoryTokens
            slots--
        }
    }

    private class Job(
        val request: SimRequest,
        val priority: Int,
        var prefillLeft: Long,
    ) {
        val memoryTokens =
            minOf(request.promptTokens + SimRequest.MAX_ANSWER_TOKENS, request.memoryLimit, EngineModel.MEMORY_TOKENS)
        var isStarted = false
        var generated = 0L
        var lastMs = 0L
    }

    private companion object {
        const val CACHED_PREFIXES = 8
        const val WARM_PREFILL_FACTOR = 30.0
    }
}
