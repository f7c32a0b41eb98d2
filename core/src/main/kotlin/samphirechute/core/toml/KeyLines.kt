package samphirechute.core.toml

/**
 * Finds the line numbers of keys, for the error messages of [TomlSource]. The TOML parser reports positions only for
 * syntax errors, so this class scans the text for table headers and `key =`. Lines inside multi-line strings are
 * skipped.
 */
internal class KeyLines(
    text: String,
) {
    private val lines = HashMap<String, Int>()

    init {
        var table = ""
        val arrayIndexes = HashMap<String, Int>()
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
                val arrayIndex = arrayIndexes.merge(name, 0) { old, _ -> old + 1 }
                table = "$name[$arrayIndex]"
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

    /** Returns the line of [path], or of its closest enclosing table if it has no line of its own; null if neither. */
    fun lineOf(path: String): Int? =
        generateSequence(path) { it.substringBeforeLast('.', "").ifEmpty { null } }.firstNotNullOfOrNull { lines[it] }

    private companion object {
        val ARRAY_HEADER = Regex("""^\s*\[\[\s*"?([\w.-]+)"?\s*]]""")
        val HEADER = Regex("""^\s*\[\s*"?([\w.-]+)"?\s*]""")
        val KEY = Regex("""^\s*["']?([\w.-]+)["']?\s*=""")
        val QUOTES = listOf("\"\"\"", "'''")
    }
}
