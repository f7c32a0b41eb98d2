package samphirechute.core.toml

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode

/**
 * Reads the fields of one TOML table and reports an error to [source] for each one that is missing or invalid. A getter
 * returns null after it reported an error. Each key that a getter was called with counts as known; call [rejectUnknown]
 * after the last getter to report all other keys.
 */
class TomlTable(
    private val node: ObjectNode,
    private val path: String,
    private val source: TomlSource,
) {
    private val known = LinkedHashSet<String>()

    /** Marks [keys] as known without reading them. */
    fun markKnown(vararg keys: String) {
        known += keys
    }

    fun has(key: String): Boolean {
        known += key
        return node.has(key)
    }

    fun text(
        key: String,
        accepted: String,
        isValid: (String) -> Boolean,
    ): String? = required(key, accepted) { optionalText(key, accepted, isValid) }

    fun optionalText(
        key: String,
        accepted: String,
        isValid: (String) -> Boolean,
    ): String? {
        val value = value(key) ?: return null
        if (!value.isTextual) return report(key, "is not a string", accepted)
        val text = value.textValue()
        return if (isValid(text)) text else report(key, "has the value \"${truncated(text)}\"", accepted)
    }

    /** Returns the strings of a required array. */
    fun texts(
        key: String,
        accepted: String,
        isValid: (String) -> Boolean,
    ): List<String>? {
        val value = value(key) ?: return report(key, "is missing", "an array, each $accepted")
        val isList = value.isArray && value.all { it.isTextual && isValid(it.textValue()) }
        return if (isList) {
            value.map { it.textValue() }
        } else {
            report(
                key,
                "has the value $value",
                "an array, each $accepted",
            )
        }
    }

    fun number(
        key: String,
        range: LongRange,
        unit: String,
    ): Long? = required(key, accepted(range, unit)) { optionalNumber(key, range, unit) }

    fun optionalNumber(
        key: String,
        range: LongRange,
        unit: String,
    ): Long? {
        val value = value(key) ?: return null
        val accepted = accepted(range, unit)
        if (!value.isIntegralNumber) return report(key, "is not a whole number", accepted)
        val isInRange = value.canConvertToLong() && value.longValue() in range
        return if (isInRange) value.longValue() else report(key, "has the value $value", accepted)
    }

    fun optionalFlag(key: String): Boolean? {
        val value = value(key) ?: return null
        return if (value.isBoolean) value.booleanValue() else report(key, "is not a boolean", "true or false")
    }

    /** Returns the entry of [choices] that the key names, or [default] if the key is absent. */
    fun <E : Any> choice(
        key: String,
        choices: Map<String, E>,
        default: E,
    ): E? {
        if (!has(key)) return default
        val accepted = choices.keys.joinToString(" or ") { "\"$it\"" }
        return optionalText(key, accepted) { it in choices }?.let { choices.getValue(it) }
    }

    fun isTable(key: String) = value(key) is ObjectNode

    /** Returns a string whose value never appears in an error message. */
    fun optionalSecret(
        key: String,
        accepted: String,
    ): String? {
        val value = value(key) ?: return null
        return if (value.isTextual) value.textValue() else report(key, "is not a string", accepted)
    }

    fun optionalTable(key: String): TomlTable? {
        val value = value(key) ?: return null
        if (value !is ObjectNode) return report(key, "is not a table", "a table [${pathOf(key)}]")
        return TomlTable(value, pathOf(key), source)
    }

    /** Returns the tables of an array of tables; empty if the key is absent. */
    fun tables(key: String): List<TomlTable> {
        val value = value(key) ?: return emptyList()
        val accepted = "one [[${pathOf(key)}]] table for each"
        if (!value.isArray) return report(key, "is not an array of tables", accepted) ?: emptyList()
        return value.mapIndexedNotNull { index, element ->
            val elementPath = "${pathOf(key)}[$index]"
            when (element) {
                is ObjectNode -> TomlTable(element, elementPath, source)
                else -> null.also { source.report(elementPath, "is not a table", accepted) }
            }
        }
    }

    fun report(
        key: String,
        problem: String,
        accepted: String,
    ): Nothing? {
        source.report(pathOf(key), problem, accepted)
        return null
    }

    /** Reports an error about the table as a whole. */
    fun reportTable(
        problem: String,
        accepted: String,
    ) = source.report(path.ifEmpty { null }, problem, accepted)

    fun rejectUnknown() {
        node.fieldNames().asSequence().filter { it !in known }.forEach { key ->
            val nearest = nearestName(key, known)
            val accepted = nearest?.let { "did you mean '$it'?" } ?: known.sorted().joinToString(", ")
            report(key, "is not a known key", accepted)
        }
    }

    private fun value(key: String): JsonNode? {
        known += key
        return node.get(key)
    }

    private fun <T : Any> required(
        key: String,
        accepted: String,
        read: () -> T?,
    ): T? = if (has(key)) read() else report(key, "is missing", accepted)

    private fun pathOf(key: String) = if (path.isEmpty()) key else "$path.$key"

    private fun accepted(
        range: LongRange,
        unit: String,
    ) = "a whole number of $unit from ${range.first} to ${range.last}"

    private fun truncated(text: String) = if (text.length <= MAX_LENGTH) text else text.take(MAX_LENGTH) + "..."

    private companion object {
        const val MAX_LENGTH = 60
    }
}
