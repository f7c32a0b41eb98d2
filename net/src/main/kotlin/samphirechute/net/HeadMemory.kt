package samphirechute.net

import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpHeadersFactory

/** Thrown into the decoder when a head exceeds the [RequestMemory] of its server. */
internal class HeadMemoryException : TooLongFrameException("the memory for heads is used up")

/**
 * Counts the memory of the heads and trailers of one connection line by line while they are decoded, so that a head that
 * never ends is counted too. It is held until [release].
 */
internal class HeadMemory(
    private val holder: RequestMemory.Holder,
) : HttpHeadersFactory {
    override fun newHeaders(): HttpHeaders = CountedHeaders().also { it.count(HEAD_BYTES) }

    override fun newEmptyHeaders(): HttpHeaders = VALIDATED.newEmptyHeaders()

    /** Releases what is counted for [headers], which the server does not use any more. */
    fun release(headers: HttpHeaders) {
        (headers as? CountedHeaders)?.release()
    }

    private inner class CountedHeaders : DefaultHttpHeaders(VALIDATED.nameValidator, VALIDATED.valueValidator) {
        private var countedBytes = 0L

        fun count(bytes: Long) {
            countedBytes += bytes
            if (!holder.add(bytes)) throw HeadMemoryException()
        }

        fun release() {
            holder.add(-countedBytes)
            countedBytes = 0
        }

        override fun add(
            name: CharSequence,
            value: Any,
        ): HttpHeaders {
            val chars = name.length + ((value as? CharSequence)?.length ?: 0)
            count(LINE_BYTES + chars * CHAR_BYTES)
            return super.add(name, value)
        }
    }

    private companion object {
        val VALIDATED: DefaultHttpHeadersFactory = DefaultHttpHeadersFactory.headersFactory()

        /** A request without header lines, with the table of its headers. */
        const val HEAD_BYTES = 1_000L

        /**
         * A line takes about 130 bytes as an entry, two strings and their arrays, and the relay keeps a copy of it while
         * the request runs. A head of 16,384 bytes in lines of two bytes counts as 2.1 MB.
         */
        const val LINE_BYTES = 250L
        const val CHAR_BYTES = 3L
    }
}
