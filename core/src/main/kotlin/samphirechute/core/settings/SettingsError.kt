package samphirechute.core.settings

/** Why a settings or service file was rejected. [message] names the file, the line or field, and the accepted form. */
data class SettingsError(
    val file: String,
    val problem: String,
    val accepted: String,
    val field: String? = null,
    val line: Int? = null,
) {
    val message: String get() = "${place()}: $problem; accepted: $accepted"

    private fun place() = listOfNotNull(file, line?.let { "line $it" }, field?.let { "field '$it'" }).joinToString(", ")
}
