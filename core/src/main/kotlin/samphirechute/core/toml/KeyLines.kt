package samphirechute.core.toml

/**
 * Finds the lines that keys stand on, for error messages. The TOML reader gives positions for syntax errors only, so
 * this takes headers and `key =` from the text. A path without a line of its own has the line of its table.
 */
internal class KeyLines(
    text: String,
) {
    private val lines = HashMap<String, Int>()

    init {
        var table = ""
        val seen = HashMap<String, Int>()
        var openQuote: String? = null
        text.lineSequence().forEachIndexed { index, line ->
            val quote = openQuote
            if (quote != null) {
                if (quote in line) openQuote = null
                return@forEachIndexed
            }
            val array = ARRAY_HEADER.find(line)
            val header = HEADER.find(line)
            val key = KEY.find(line)
            if (array != null) {
                val name = array.groupValues[1]
                val position = seen.merge(name, 0) { old, _ -> old + 1 }
                table = "$name[$position]"
                lines[table] = index + 1
            } else if (header != null) {
                table = header.groupValues[1]
                lines[table] = index + 1
            } else if (key != null) {
                lines.putIfAbsent(
                    if (table.isEmpty()) key.groupValues[1] else "$table.${key.groupValues[1]}",
                    index + 1,
                )
            }
            openQuote = QUOTES.firstOrNull { line.split(it).size == 2 }
        }
    }

    fun of(path: String): Int? =
        generateSequence(path) { it.substringBeforeLast('.', "").ifEmpty { null } }.firstNotNullOfOrNull { lines[it] }

    private companion object {
        val ARRAY_HEADER = Regex("""^\s*\[\[\s*"?([\w.-]+)"?\s*]]""")
        val HEADER = Regex("""^\s*\[\s*"?([\w.-]+)"?\s*]""")
        val KEY = Regex("""^\s*["']?([\w.-]+)["']?\s*=""")
        val QUOTES = listOf("\"\"\"", "'''")
    }
}
