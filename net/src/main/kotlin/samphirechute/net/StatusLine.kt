package samphirechute.net

/** The beginning of the first line of a response, version and status code, in each form that the decoder accepts. */
internal object StatusLine {
    private const val VERSION = "HTTP/"
    private val PATTERN = Regex("HTTP/\\d\\.\\d\\s+(\\d{3})(?=\\s|$)", RegexOption.IGNORE_CASE)

    /** A longer one has more spaces than any server is known to write. */
    private const val MAX_CHARS = 24

    /** The characters that a version begins with, in both cases. */
    const val VERSION_LETTERS = "HTPhtp"

    /** Returns whether [text] contains one. A longer number, as of an address, is no status. */
    fun isIn(text: String) = text.contains(VERSION, ignoreCase = true) && PATTERN.containsMatchIn(text)

    /** Returns the status if [line] begins with one, otherwise null. */
    fun statusOf(line: String): Int? =
        PATTERN
            .matchAt(line, 0)
            ?.groupValues
            ?.get(1)
            ?.toInt()

    /** Returns where each one in [text] begins. */
    fun positionsIn(text: String): List<Int> = versionsIn(text).filter { PATTERN.matchesAt(text, it) }.toList()

    /** Returns where [text] ends in the beginning of one, or null. */
    fun cutIn(text: String): Int? =
        (maxOf(0, text.length - MAX_CHARS) until text.length).firstOrNull { start ->
            val length = text.length - start
            VERSION.startsWith(text.substring(start, start + minOf(length, VERSION.length)), ignoreCase = true) &&
                (length < VERSION.length || !PATTERN.matchesAt(text, start))
        }

    fun hasVersion(text: String) = text.contains(VERSION, ignoreCase = true)

    private fun versionsIn(text: String) =
        generateSequence(text.indexOf('/')) { text.indexOf('/', it + 1) }
            .takeWhile { it >= 0 }
            .map { it - VERSION.length + 1 }
            .filter { it >= 0 && text.startsWith(VERSION, it, ignoreCase = true) }
}
