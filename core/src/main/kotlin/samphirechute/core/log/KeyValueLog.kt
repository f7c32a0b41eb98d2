package samphirechute.core.log

import io.github.oshai.kotlinlogging.KotlinLogging

/**
 * Logs each event as one line `event=name key=value ...`. Values that are empty or contain white space, quotes, `=` or
 * control characters are quoted. The daemons and their libraries log through it.
 */
class KeyValueLog(
    name: String,
) {
    private val logger = KotlinLogging.logger(name)

    fun event(
        event: String,
        fields: Map<String, Any?> = emptyMap(),
    ) = logger.info { line(event, fields) }

    fun warn(
        event: String,
        fields: Map<String, Any?> = emptyMap(),
        cause: Throwable? = null,
    ) = logger.warn(cause) { line(event, fields) }

    internal fun line(
        event: String,
        fields: Map<String, Any?>,
    ) = buildString {
        append("event=").append(event)
        fields.forEach { (key, value) -> append(' ').append(key).append('=').append(quoted(value.toString())) }
    }

    private fun quoted(value: String): String {
        val isPlain =
            value.isNotEmpty() && value.none { it.isWhitespace() || it == '"' || it == '=' || it.isISOControl() }
        if (isPlain) return value
        val escaped =
            value
                .replace("\\", "\\\\")
                .replace("\"", "\\\"")
                .replace("\n", "\\n")
                .replace("\r", "\\r")
        return "\"$escaped\""
    }
}
