package samphirechute.testkit.engine

import samphirechute.core.RequestId
import samphirechute.core.engine.CacheEvents
import samphirechute.core.engine.GenerateBody
import samphirechute.core.time.TimerService
import samphirechute.testkit.DeterministicAnswer
import kotlin.math.ceil
import kotlin.random.Random

/**
 * A simulated engine without sockets: continuous batching on a timer. Each step decodes one token of every running
 * request and prefills one chunk, in order of priority (lower numbers first) and arrival. A cold engine is slower,
 * and falls over when it is given more than it can carry cold.
 */
class EngineModel(
    private val settings: EngineSettings,
    private val timer: TimerService,
    random: Random,
) {
    private val jobs = LinkedHashMap<RequestId, Job>()
    private val memory = KvMemory(settings.memoryTokens)
    private val feed = CacheEventFeed(settings.cacheLagMs, settings.cacheLossShare, random)
    private val cache = PrefixCache { feed.add(it, timer.nowMs()) }
    private val history = LoadHistory(settings.reportLagMs)
    private val clock = StepClock(timer)
    private var warmthMs = if (settings.startsCold) 0.0 else settings.warmUpMs.toDouble()
    private var isStepping = false
    private var nextOrder = 0L

    val orders = OrderDesk(settings.checksFencing)

    /** Counts the lives of the engine; each begins with an empty memory. */
    var generation = 1L
        private set

    /** How often the engine fell over because it was given too much. */
    var overloads = 0
        private set

    var isDown = false
        private set

    val isCold: Boolean get() = warmthMs < settings.warmUpMs

    val runningRequests: Int get() = jobs.size

    val usedMemoryTokens: Long get() = memory.usedTokens

    /** Takes a request; null, or the reason why it was refused before it ran. A newer attempt replaces an older one. */
    fun submit(
        body: GenerateBody,
        listener: JobListener,
    ): String? {
        val earlier = jobs[body.requestId]
        if (earlier != null && earlier.body.attempt >= body.attempt) return "old_attempt"
        earlier?.let(::stop)
        val job = Job(body, listener, nextOrder++)
        if (job.memoryTokens > settings.memoryTokens) return "too_large"
        if (jobs.size >= settings.maxConcurrency) return "full"
        jobs[body.requestId] = job
        if (isCold && isTooMuchForCold()) {
            overloads++
            fallOver()
            return null
        }
        if (body.deadlineMs > 0) job.deadline = timer.after(body.deadlineMs) { stop(job) }
        scheduleStep()
        recordLoad()
        return null
    }

    /** Stops a request, of any attempt when [attempt] is null; then it also frees what is exported or lent for it. */
    fun cancel(
        request: RequestId,
        attempt: Int?,
    ) {
        jobs[request]?.takeIf { attempt == null || it.body.attempt == attempt }?.let(::stop)
        if (attempt == null) memory.releaseAll(request)
        recordLoad()
    }

    /** Keeps a copy of the memory of a running request until it is released; false when it does not fit. */
    fun exportKv(
        request: RequestId,
        tokens: Long,
    ) = jobs[request] != null && reserve(request, KvUse.EXPORTED, tokens)

    /** Lends memory to a request that runs on another engine; false when it does not fit. */
    fun importKv(
        request: RequestId,
        tokens: Long,
    ) = reserve(request, KvUse.IMPORTED, tokens)

    fun releaseKv(request: RequestId) {
        memory.release(request, KvUse.EXPORTED)
        memory.release(request, KvUse.IMPORTED)
        recordLoad()
        scheduleStep()
    }

    /** The load as reported: late. */
    fun reportedLoad(): EngineLoad = history.reported(timer.nowMs())

    fun takeCacheEvents(): CacheEvents = feed.take(timer.nowMs())

    /** Becomes cold without an announcement. */
    fun becomeCold() {
        warmthMs = 0.0
        cache.lose()
    }

    fun loseCache() = cache.lose()

    /** Dies with all its requests, and comes back cold and empty after the restart time. */
    fun fallOver() {
        isDown = true
        jobs.values.toList().forEach(::stop)
        memory.clear()
        becomeCold()
        recordLoad()
        timer.after(settings.restartMs) {
            isDown = false
            generation++
        }
    }

    private fun reserve(
        request: RequestId,
        use: KvUse,
        tokens: Long,
    ): Boolean {
        val isReserved = memory.reserve(request, use, tokens)
        if (isReserved) cache.shrinkTo(memory.freeTokens)
        recordLoad()
        return isReserved
    }

    private fun isTooMuchForCold() =
        jobs.size > settings.coldConcurrency || (jobs.size > 1 && queuedPrefill() > settings.coldPrefillTokens)

    private fun queuedPrefill() = jobs.values.sumOf { it.prefillLeft }

    private fun scheduleStep() {
        if (isStepping || isDown || jobs.isEmpty()) return
        admit()
        val decoding = jobs.values.filter { it.isDecoding }
        val chunks = chunks()
        if (decoding.isEmpty() && chunks.isEmpty()) return
        isStepping = true
        val decodeMs = if (decoding.isEmpty()) 0.0 else settings.decodeStepMs
        val prefillMs = chunks.values.sum() * MS_PER_SECOND / settings.prefillTokensPerSecond
        val stepMs = (decodeMs + prefillMs) * (if (isCold) settings.coldFactor else 1.0)
        clock.after(stepMs) { finishStep(decoding, chunks, stepMs) }
    }

    private fun finishStep(
        decoding: List<Job>,
        chunks: Map<Job, Long>,
        stepMs: Double,
    ) {
        isStepping = false
        warmthMs += stepMs
        for ((job, tokens) in chunks) job.prefillLeft -= tokens
        for (job in chunks.keys.filter { it.isDecoding && !it.isOver }) {
            cache.add(job.prefixes, memory.freeTokens)
            emit(job)
        }
        for (job in decoding) if (!job.isOver) emit(job)
        recordLoad()
        scheduleStep()
    }

    private fun admit() {
        for (job in byUrgency().filter { !it.isAdmitted }) {
            if (!memory.reserve(job.body.requestId, KvUse.RUNNING, job.memoryTokens)) return
            cache.shrinkTo(memory.freeTokens)
            job.isAdmitted = true
            job.cachedTokens = cache.cachedTokens(job.prefixes).coerceAtMost(job.prefillLeft - 1).coerceAtLeast(0)
            job.prefillLeft -= job.cachedTokens
        }
    }

    private fun chunks(): Map<Job, Long> {
        var left = settings.prefillChunkTokens
        val chunks = LinkedHashMap<Job, Long>()
        for (job in byUrgency().filter { it.isAdmitted && it.prefillLeft > 0 }) {
            if (left == 0L) break
            chunks[job] = minOf(left, job.prefillLeft)
            left -= chunks.getValue(job)
        }
        return chunks
    }

    private fun byUrgency() = jobs.values.sortedWith(compareBy({ it.body.priority }, { it.order }))

    private fun emit(job: Job) {
        if (job.offset < job.body.maxTokens) {
            val text = DeterministicAnswer.token(job.body.requestId, job.offset)
            job.listener.onToken(job.offset++, text, job.cachedTokens)
        }
        if (job.offset >= job.body.maxTokens) {
            remove(job)
            job.listener.onEnd(job.offset)
        }
    }

    private fun stop(job: Job) {
        if (job.isOver) return
        remove(job)
        job.listener.onStopped()
    }

    private fun remove(job: Job) {
        job.isOver = true
        job.deadline?.cancel()
        jobs.remove(job.body.requestId, job)
        memory.release(job.body.requestId, KvUse.RUNNING)
    }

    private fun recordLoad() {
        val held = memory.held().mapKeys { it.key.value }
        history.record(EngineLoad(jobs.size, queuedPrefill(), memory.usedTokens, held), timer.nowMs())
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0
    }
}

/** Runs steps whose length is not a whole number of milliseconds, so that their rounding does not add up. */
private class StepClock(
    private val timer: TimerService,
) {
    private var dueMs = 0.0

    fun after(
        stepMs: Double,
        action: () -> Unit,
    ) {
        dueMs = maxOf(dueMs, timer.nowMs().toDouble()) + stepMs
        timer.after(ceil(dueMs - timer.nowMs()).toLong(), action)
    }
}
