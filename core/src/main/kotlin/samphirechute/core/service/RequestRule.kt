package samphirechute.core.service

import kotlinx.serialization.Serializable

/** Selects requests of a service by method, path prefix and kind. A null property matches any value. */
@Serializable
data class RequestRule(
    val method: String? = null,
    val path: String? = null,
    val kind: String? = null,
) {
    fun matches(
        requestMethod: String,
        requestPath: String,
        requestKind: String?,
    ) = (method == null || method.equals(requestMethod, ignoreCase = true)) &&
        (path == null || isBelow(requestPath, path)) &&
        (kind == null || kind == requestKind)

    private fun isBelow(
        requestPath: String,
        prefix: String,
    ) = requestPath == prefix || requestPath.startsWith(prefix.removeSuffix("/") + "/")
}
