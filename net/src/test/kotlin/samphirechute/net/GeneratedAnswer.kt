package samphirechute.net

import kotlin.random.Random

/** An answer of a generated server: what it says, and the bytes in which it says so. */
internal class GeneratedAnswer(
    val status: Int,
    val body: String,
    val signature: String,
    val wire: ByteArray,
    val endsConnection: Boolean,
) {
    companion object {
        private val STATUSES = listOf(200, 200, 200, 204, 304, 404, 500, 503)
        private val REASONS = listOf("", "OK", "Not Found", "Failed: see below", "a long reason ".repeat(6))
        private val WORDS = listOf("red", "id", "a: b", "HTTP", "{", "}", "0", "ff", "")
        private val SEPARATORS = List(8) { " " } + listOf("\n", "\r\n", ", ")
        private val INTERIM = listOf("HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
        private val FRAMINGS = List(8) { Framing.LENGTH } + List(8) { Framing.CHUNKS } + Framing.CLOSE + Framing.NONE
        private val SPACES = listOf("", " ", "\t ")
        private const val MAX_WORDS = 60

        /** Generates the answer to a request with any status, framing, order and case of fields. */
        fun to(
            request: RawRequest,
            random: Random,
        ): GeneratedAnswer {
            val status = STATUSES.random(random)
            val hasBody = request.method != "HEAD" && status != 204 && status != 304
            val text = text(random)
            val framing = if (status == 204) Framing.NONE else FRAMINGS.random(random)
            val signature = "s-" + "%016x".format(random.nextLong())
            val fields =
                listOf("Id: ${request.id}", "Signature: $signature", "Server: stand-in 1.0", "X-Note: some, words") +
                    framing.fields(text)
            val head = "HTTP/1.1 $status ${REASONS.random(random)}\r\n" + head(fields.shuffled(random), random)
            val interim = if (random.nextInt(8) == 0) INTERIM.random(random) else ""
            val body = if (hasBody) framing.encode(text, random) else ""
            return GeneratedAnswer(
                status,
                if (hasBody) text else "",
                signature,
                (interim + head + body).toByteArray(Charsets.ISO_8859_1),
                endsConnection = framing == Framing.CLOSE || (framing == Framing.NONE && hasBody),
            )
        }

        private fun text(random: Random) =
            List(random.nextInt(MAX_WORDS)) { WORDS.random(random) + SEPARATORS.random(random) }.joinToString("")

        private fun head(
            fields: List<String>,
            random: Random,
        ): String {
            val lines =
                fields.map { field ->
                    val name =
                        field
                            .substringBefore(
                                ':',
                            ).map { if (random.nextBoolean()) it.uppercase() else it.lowercase() }
                    name.joinToString("") + ":" + SPACES.random(random) + field.substringAfter(": ")
                }
            return lines.joinToString("") { it + "\r\n" } + "\r\n"
        }
    }

    private enum class Framing {
        LENGTH,
        CHUNKS,
        CLOSE,
        NONE,
        ;

        fun fields(text: String) =
            when (this) {
                LENGTH -> listOf("Content-Length: ${text.length}")
                CHUNKS -> listOf("Transfer-Encoding: chunked")
                CLOSE -> listOf("Connection: close")
                NONE -> emptyList()
            }

        fun encode(
            text: String,
            random: Random,
        ) = when (this) {
            LENGTH, CLOSE, NONE -> text
            CHUNKS -> chunks(text, random)
        }

        private fun chunks(
            text: String,
            random: Random,
        ): String {
            val pieces = mutableListOf<String>()
            var rest = text
            while (rest.isNotEmpty()) {
                val length = random.nextInt(1, rest.length + 1)
                val extension = if (random.nextInt(8) == 0) ";a=b" else ""
                pieces += length.toString(16) + extension + "\r\n" + rest.take(length) + "\r\n"
                rest = rest.drop(length)
            }
            val trailer = if (random.nextInt(4) == 0) "X-Check: 1\r\n" else ""
            return pieces.joinToString("") + "0\r\n" + trailer + "\r\n"
        }
    }
}
