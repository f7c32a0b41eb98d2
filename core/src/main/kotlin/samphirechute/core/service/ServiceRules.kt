package samphirechute.core.service

import samphirechute.core.settings.FieldProblem

/**
 * Validates services. [ServiceFileReader] applies these rules to files, and the daemon to services that an operator
 * publishes.
 */
object ServiceRules {
    /** Claims are kept for 24 h. Half of that leaves callers time to retry after the deadline. */
    private const val MAX_DEADLINE_MS = 12 * 3_600_000L
    private const val MAX_SHARE = 1_000L

    internal const val NAME_FORM = "1 to 63 lower-case letters, digits, '-' or '_', beginning with a letter or digit"
    internal const val POOL_FORM = "1 to 128 letters, digits, '-', '_', '.', ':' or '/'"

    internal val deadlineMs = 1L..MAX_DEADLINE_MS
    internal val share = 1L..MAX_SHARE

    private val namePattern = Regex("[a-z0-9][a-z0-9_-]{0,62}")
    private val poolPattern = Regex("[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}")

    internal fun isName(text: String) = namePattern.matches(text)

    internal fun isPool(text: String) = poolPattern.matches(text)

    /** Returns the problems of one service; empty if it is valid. */
    fun problems(spec: ServiceSpec): List<FieldProblem> =
        buildList {
            if (!isName(spec.name.value)) add(FieldProblem("name", "is not valid", NAME_FORM))
            if (!isName(spec.team.value)) add(FieldProblem("team", "is not valid", NAME_FORM))
            if (!isPool(spec.target.pool.value)) add(FieldProblem("pool", "is not valid", POOL_FORM))
            if (spec.deadlineMs !in deadlineMs) {
                add(FieldProblem("deadline_ms", "is out of range", "${deadlineMs.first} to ${deadlineMs.last}"))
            }
            if (spec.firstTokenMs !in 1..spec.deadlineMs) {
                add(FieldProblem("first_token_ms", "is beyond the deadline", "1 to deadline_ms"))
            }
            if (spec.share !in share) {
                add(FieldProblem("share", "is out of range", "${share.first} to ${share.last}"))
            }
            if (spec.mode == ServiceMode.DOCUMENT) addAll(documentProblems(spec))
        }

    /** Returns the problems of a set of services, one line each, including names that are used more than once. */
    fun problems(specs: List<ServiceSpec>): List<String> {
        val serviceProblems = specs.flatMap { spec -> problems(spec).map { "service '${spec.name}': ${it.message}" } }
        val duplicates = specs.groupBy { it.name }.filterValues { it.size > 1 }.keys
        return serviceProblems + duplicates.map { "service '$it': the name is used more than once" }
    }

    private fun documentProblems(spec: ServiceSpec) =
        buildList {
            if (spec.target !is ServiceTarget.Model) {
                add(FieldProblem("mode", "is \"document\" without a model", "\"document\" together with model"))
            }
            if (spec.neverRepeat.isNotEmpty()) {
                // If the instance that runs a document is lost, the document is assigned again and may run twice.
                add(FieldProblem("never_repeat", "is given for a document", "never_repeat with mode = \"answer\""))
            }
        }
}
