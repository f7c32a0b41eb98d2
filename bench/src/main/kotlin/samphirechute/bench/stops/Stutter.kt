package samphirechute.bench.stops

import java.io.OutputStream
import kotlin.random.Random

/** How the bytes of a second copy differ from those of a whole answer. */
internal sealed class Damage {
    /** The copy ends after [bytes]. */
    data class CutAt(
        val bytes: Int,
    ) : Damage()

    data class TakenOut(
        val fromByte: Int,
        val bytes: Int,
    ) : Damage()

    data class Overwritten(
        val fromByte: Int,
        val bytes: Int,
        val by: Char,
    ) : Damage()

    fun apply(copy: ByteArray): ByteArray =
        when (this) {
            is CutAt -> {
                copy.copyOf(minOf(copy.size, bytes))
            }

            is TakenOut -> {
                val from = minOf(copy.size, fromByte)
                copy.copyOfRange(0, from) + copy.copyOfRange(minOf(copy.size, from + bytes), copy.size)
            }

            is Overwritten -> {
                copy.copyOf().also { spoiled ->
                    for (index in fromByte until minOf(copy.size, fromByte + bytes)) spoiled[index] = by.code.toByte()
                }
            }
        }
}

/** When a second copy is written. */
internal sealed class CopyTime {
    /** Before the next request is read, which may have been sent by then. */
    data class After(
        val delayMs: Long,
    ) : CopyTime()

    /** When the next request on the connection has been read, before the work on it. */
    data object AtNextRequest : CopyTime()

    /** Right before the answer to the next request on the connection. */
    data object AtNextAnswer : CopyTime()
}

/** How a second copy of an answer is written. */
internal class Stutter(
    /** The status of the copy, or null for that of the answer. */
    val status: Int?,
    val time: CopyTime,
    private val pieces: Int,
    private val gapMs: Long,
    private val damage: Damage?,
) {
    fun write(
        copy: ByteArray,
        output: OutputStream,
    ) {
        val bytes = damage?.apply(copy) ?: copy
        for (piece in 0 until pieces) {
            if (piece > 0) Thread.sleep(gapMs)
            val from = bytes.size * piece / pieces
            output.write(bytes, from, bytes.size * (piece + 1) / pieces - from)
            output.flush()
        }
    }

    override fun toString() =
        "${time}_pieces_${pieces}_gap_$gapMs${status?.let { "_as_$it" }.orEmpty()}${damage?.let { "_$it" }.orEmpty()}"
            .replace(" ", "")

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
                time(random),
                random.nextInt(1, MOST_PIECES + 1),
                random.nextLong(MAX_GAP_MS + 1),
                damage(random),
            )
        }

        private fun time(random: Random) =
            when (random.nextInt(TIMES)) {
                0 -> CopyTime.AtNextRequest
                1 -> CopyTime.AtNextAnswer
                else -> CopyTime.After(DELAYS_MS.random(random))
            }

        private fun damage(random: Random): Damage? {
            val fromByte = random.nextInt(DAMAGED_BYTES.random(random))
            return when (random.nextInt(DAMAGES)) {
                0, 1 -> Damage.CutAt(fromByte)
                2 -> Damage.TakenOut(fromByte, random.nextInt(1, MAX_SPOILED_BYTES))
                3 -> Damage.Overwritten(fromByte, random.nextInt(1, MAX_SPOILED_BYTES), SPOILING.random(random))
                else -> null
            }
        }

        private const val PERCENT = 100
        private const val OK = 200
        private const val FAILURE = 500
        private const val OTHER_STATUS_OF = 3
        private const val TIMES = 4
        private val DELAYS_MS = listOf(0L, 0L, 5L, 20L, 300L, 1_000L)
        private const val MOST_PIECES = 4
        private const val MAX_GAP_MS = 40L

        /** Cuts, and spoiled or whole copies, of so many. */
        private const val DAMAGES = 6

        /** Damage begins before one of these: within the first lines, within the head, or anywhere. */
        private val DAMAGED_BYTES = listOf(24, 60, 200, 4_000)
        private const val MAX_SPOILED_BYTES = 400
        private const val SPOILING = "0 \n:x"
    }
}
