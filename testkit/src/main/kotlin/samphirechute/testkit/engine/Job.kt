package samphirechute.testkit.engine

import samphirechute.core.engine.GenerateBody
import samphirechute.core.engine.PrefixHash
import samphirechute.core.time.Subscription

/** What becomes of a request that an engine accepted. */
interface JobListener {
    fun onToken(
        offset: Long,
        text: String,
        cachedTokens: Long,
    )

    fun onEnd(totalTokens: Long)

    /** The engine stops without the end of the answer: cancelled, past its deadline, or the engine fell over. */
    fun onStopped()
}

/** One request inside an engine. */
internal class Job(
    val body: GenerateBody,
    val listener: JobListener,
    val order: Long,
) {
    val prefixes = PrefixHash.of(body.prompt.encodeToByteArray())
    var offset = body.resumeOffset
    var cachedTokens = 0L
    var prefillLeft = body.promptTokens + body.resumeOffset
    var isAdmitted = false
    var isOver = false
    var deadline: Subscription? = null

    val isDecoding get() = isAdmitted && prefillLeft == 0L

    /** Unless the request says otherwise, the lenders of a prompt too large for one engine hold equal parts of it. */
    val memoryTokens = body.memoryTokens ?: ceilDiv(body.promptTokens + body.maxTokens, body.lenders.size + 1L)

    private fun ceilDiv(
        dividend: Long,
        divisor: Long,
    ) = (dividend + divisor - 1) / divisor
}
