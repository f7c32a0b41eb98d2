package samphirechute.net

import java.io.OutputStream
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/**
 * A server that writes copies of its answers, whole, cut anywhere or with a piece taken out: before the next answer,
 * right behind an answer or some milliseconds later. It records its first answer to each request by identifier.
 */
internal class CopyingServer(
    private val seed: Int,
) : AutoCloseable {
    private val server = RawServer(::open)
    private val written = CopyOnWriteArrayList<ByteArray>()
    private val copyCount = AtomicInteger()
    val answers = ConcurrentHashMap<String, GeneratedAnswer>()
    val address get() = server.address

    /** How many copies were written, or begun. */
    val copies: Int get() = copyCount.get()

    private fun open(
        number: Int,
        output: OutputStream,
    ): (RawRequest) -> Boolean {
        val random = Random(seed * CONNECTIONS_PER_SEED + number)
        val own = ArrayList<ByteArray>()
        return { request ->
            if (own.isNotEmpty() && random.nextInt(3) == 0) writeCopy(own, output, random)
            val answer = GeneratedAnswer.to(request, random)
            answers[request.id] = answer
            writeInPieces(answer.wire, output, random)
            own += answer.wire
            written += answer.wire
            if (!answer.endsConnection && random.nextInt(6) == 0) {
                pause(random)
                writeCopy(own, output, random)
            }
            !answer.endsConnection
        }
    }

    /** Writes a copy of an answer on this connection, or at times on another one, which may have had no length. */
    private fun writeCopy(
        own: List<ByteArray>,
        output: OutputStream,
        random: Random,
    ) {
        copyCount.incrementAndGet()
        val source = if (random.nextInt(4) == 0) written.toList().random(random) else own.random(random)
        writeInPieces(damaged(source, random), output, random)
        pause(random)
    }

    private fun damaged(
        wire: ByteArray,
        random: Random,
    ): ByteArray {
        val from = random.nextInt(wire.size + 1)
        val to = random.nextInt(from, wire.size + 1)
        return when (random.nextInt(5)) {
            0 -> wire
            1 -> wire.copyOf(from)
            else -> wire.copyOf(from) + wire.copyOfRange(to, wire.size)
        }
    }

    private fun writeInPieces(
        bytes: ByteArray,
        output: OutputStream,
        random: Random,
    ) {
        val cuts = List(random.nextInt(4)) { random.nextInt(bytes.size + 1) } + 0 + bytes.size
        cuts.sorted().zipWithNext { from, to ->
            output.write(bytes, from, to - from)
            pause(random)
        }
    }

    private fun pause(random: Random) {
        if (random.nextInt(4) == 0) Thread.sleep(random.nextLong(1, MAX_PAUSE_MS))
    }

    override fun close() = server.close()

    private companion object {
        const val CONNECTIONS_PER_SEED = 1_000_000
        const val MAX_PAUSE_MS = 5L
    }
}
