package samphirechute.bench.stops

import java.io.OutputStream
import kotlin.random.Random

/** How a second copy of an answer is written. */
internal class Stutter(
    /** The status of the copy, or null for that of the answer. */
    val status: Int?,
    /** Whether the copy waits until the next request on the connection has been read. */
    val isBeforeNext: Boolean,
    private val delayMs: Long,
    private val gapMs: Long?,
    /** How much of the copy is written; the rest never comes. */
    private val brokenOffAfterBytes: Int? = null,
) {
    fun write(
        copy: ByteArray,
        output: OutputStream,
    ) {
        Thread.sleep(if (isBeforeNext) 0 else delayMs)
        val count = minOf(copy.size, brokenOffAfterBytes ?: copy.size)
        val cut = if (gapMs == null) count else count / 2
        output.write(copy, 0, cut)
        output.flush()
        if (gapMs == null) return
        Thread.sleep(gapMs)
        output.write(copy, cut, count - cut)
        output.flush()
    }

    override fun toString() =
        (if (isBeforeNext) "before_next" else "after_$delayMs") + "_gap_${gapMs ?: 0}" +
            (status?.let { "_as_$it" }.orEmpty()) +
            brokenOffAfterBytes?.let { "_broken_off_$it" }.orEmpty()

    companion object {
        /** Whether and how the answer with [status] is written twice. */
        fun of(
            random: Random,
            sharePercent: Int,
            status: Int,
        ): Stutter? {
            if (random.nextInt(PERCENT) >= sharePercent) return null
            val other = if (status == OK) FAILURE else OK
            return Stutter(
                other.takeIf { random.nextInt(OTHER_STATUS_OF) == 0 },
                random.nextBoolean(),
                DELAYS_MS.random(random),
                if (random.nextBoolean()) random.nextLong(MAX_GAP_MS + 1) else null,
                BROKEN_OFF_BYTES.random(random).let(random::nextInt).takeIf { random.nextInt(BROKEN_OFF_OF) == 0 },
            )
        }

        private const val PERCENT = 100
        private const val OK = 200
        private const val FAILURE = 500
        private const val OTHER_STATUS_OF = 3
        private val DELAYS_MS = listOf(0L, 0L, 20L, 300L)

        /** The first is within the head, which then continues with the first line of the next answer. */
        private val BROKEN_OFF_BYTES = listOf(60, 4_000)
        private const val BROKEN_OFF_OF = 6
        private const val MAX_GAP_MS = 40L
    }
}
