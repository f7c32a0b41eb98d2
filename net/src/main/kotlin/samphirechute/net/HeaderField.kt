package samphirechute.net

/** One header line. A name may stand more than once in a head, and the order of lines is kept. */
data class HeaderField(
    val name: String,
    val value: String,
)

/** The head of an answer as it was received. Names are case-insensitive. */
class ResponseHead(
    val status: Int,
    val fields: List<HeaderField>,
) {
    operator fun get(name: String): String? = fields.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value
}
