package samphirechute.net

/** One header field. A name may occur more than once in a head, and the order of the fields is preserved. */
data class HeaderField(
    val name: String,
    val value: String,
)

/** The status and headers of a response as received. Names are looked up without regard to case. */
class ResponseHead(
    val status: Int,
    val fields: List<HeaderField>,
) {
    operator fun get(name: String): String? = fields.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value

    /** Returns the values of all fields named [name], in order. */
    fun all(name: String): List<String> = fields.filter { it.name.equals(name, ignoreCase = true) }.map { it.value }
}
