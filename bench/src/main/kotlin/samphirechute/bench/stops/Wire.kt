package samphirechute.bench.stops

import java.io.BufferedInputStream
import java.io.EOFException
import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.io.PushbackInputStream
import java.net.Socket
import java.net.SocketTimeoutException
import java.util.concurrent.TimeUnit

/** Bytes that are no message of HTTP/1.1. */
internal class NoMessage(
    text: String,
) : IOException(text)

/** The first line and the fields of a request or an answer. */
internal class Head(
    val start: String,
    private val fields: List<Pair<String, String>>,
) {
    val status: Int get() = start.split(' ').getOrNull(1)?.toIntOrNull() ?: throw NoMessage(start)

    operator fun get(name: String): String? = fields.firstOrNull { it.first.equals(name, ignoreCase = true) }?.second

    fun says(
        name: String,
        value: String,
    ) = get(name)?.lowercase()?.contains(value) == true

    val isChunked get() = says("Transfer-Encoding", "chunked")
    val lengthBytes: Int? get() = get("Content-Length")?.trim()?.toIntOrNull()
}

/** What a connection without a message under way showed. */
internal enum class Idle {
    SILENT,
    BYTES,
    CLOSED,
}

/**
 * Reads messages of HTTP/1.1 from a plain socket, so that a bench sees each byte and each end of a connection itself.
 * A slow reader waits [pauseMs] before it takes [stepBytes] at most.
 */
internal class WireReader(
    private val socket: Socket,
    private val pauseMs: Long = 0,
    private val stepBytes: Int = Int.MAX_VALUE,
) {
    /** A read that lasts longer fails with [SocketTimeoutException]; null waits for any time. */
    private var untilNs: Long? = null
    private val input = PushbackInputStream(BufferedInputStream(Timed(socket.getInputStream())))

    /** Ends all reads [limitMs] from now. */
    fun limit(limitMs: Long?) {
        untilNs = limitMs?.let { System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(it) }
    }

    /** The next head, or null if the connection has ended in good order before it. */
    fun head(): Head? {
        val start = line() ?: return null
        val fields = generateSequence { (line() ?: throw EOFException()).ifEmpty { null } }
        return Head(start, fields.map { it.substringBefore(':') to it.substringAfter(':').trim() }.toList())
    }

    /** Adds the body to [sink] as it comes; what has come before a failure stays there. */
    fun body(
        head: Head,
        endsWithConnection: Boolean,
        sink: OutputStream,
    ) {
        val lengthBytes = head.lengthBytes
        when {
            head.isChunked -> chunks(sink)
            lengthBytes != null -> copy(lengthBytes, sink)
            endsWithConnection -> input.transferTo(sink)
        }
    }

    /** Waits until bytes come that nobody asked for, the connection ends, or [durationMs] have passed. */
    fun idle(durationMs: Long): Idle {
        limit(durationMs)
        return try {
            val next = input.read()
            if (next < 0) {
                Idle.CLOSED
            } else {
                input.unread(next)
                Idle.BYTES
            }
        } catch (_: SocketTimeoutException) {
            Idle.SILENT
        } catch (_: IOException) {
            // A reset is an end like any other for a connection that nothing was sent on.
            Idle.CLOSED
        } finally {
            limit(null)
        }
    }

    private fun chunks(sink: OutputStream) {
        while (true) {
            val size = line() ?: throw EOFException()
            val sizeBytes = size.substringBefore(';').trim().toIntOrNull(HEX) ?: throw NoMessage("chunk size $size")
            if (sizeBytes > 0) copy(sizeBytes, sink)
            val end = line() ?: throw EOFException()
            if (end.isNotEmpty()) throw NoMessage("end of chunk $end")
            if (sizeBytes == 0) return
        }
    }

    private fun copy(
        countBytes: Int,
        sink: OutputStream,
    ) {
        val buffer = ByteArray(BUFFER_BYTES)
        var leftBytes = countBytes
        while (leftBytes > 0) {
            val readBytes = input.read(buffer, 0, minOf(leftBytes, buffer.size))
            if (readBytes < 0) throw EOFException()
            sink.write(buffer, 0, readBytes)
            leftBytes -= readBytes
        }
    }

    private fun line(): String? {
        val line = StringBuilder()
        while (true) {
            val next = input.read()
            if (next < 0) return if (line.isEmpty()) null else throw EOFException()
            if (next == '\n'.code) return line.toString().removeSuffix("\r")
            if (line.length == LINE_CHARS) throw NoMessage(line.take(SHOWN_CHARS).toString())
            line.append(next.toChar())
        }
    }

    private inner class Timed(
        private val source: InputStream,
    ) : InputStream() {
        override fun read(): Int = ByteArray(1).let { if (read(it, 0, 1) < 0) -1 else it[0].toInt() and BYTE }

        override fun read(
            buffer: ByteArray,
            from: Int,
            countBytes: Int,
        ): Int {
            if (pauseMs > 0) Thread.sleep(pauseMs)
            val leftMs = untilNs?.let { TimeUnit.NANOSECONDS.toMillis(it - System.nanoTime()) }
            if (leftMs != null && leftMs <= 0) throw SocketTimeoutException()
            socket.soTimeout = leftMs?.toInt() ?: 0
            return source.read(buffer, from, minOf(countBytes, stepBytes))
        }
    }

    private companion object {
        const val HEX = 16
        const val BYTE = 0xff
        const val BUFFER_BYTES = 8_192
        const val LINE_CHARS = 16_384
        const val SHOWN_CHARS = 60
    }
}
