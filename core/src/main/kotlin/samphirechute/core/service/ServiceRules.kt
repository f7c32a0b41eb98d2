package samphirechute.core.service

import samphirechute.core.settings.FieldProblem

/** What a service must fulfil, whether it comes from a file or over the operator interface. */
object ServiceRules {
    /** A claim is kept for 24 h; half of that leaves time for resends after the deadline. */
    private const val MAX_DEADLINE_MS = 12 * 3_600_000L
    private const val MAX_SHARE = 1_000L

    internal const val NAME_FORM = "1 to 63 lower-case letters, digits, '-' or '_', beginning with a letter or digit"
    internal const val POOL_FORM = "1 to 128 letters, digits, '-', '_', '.', ':' or '/'"

    internal val deadlineMs = 1L..MAX_DEADLINE_MS
    internal val share = 1L..MAX_SHARE

    private val name = Regex("[a-z0-9][a-z0-9_-]{0,62}")
    private val pool = Regex("[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}")

    internal fun isName(text: String) = name.matches(text)

    internal fun isPool(text: String) = pool.matches(text)

    /** The problems of one service, empty when it is valid. */
    fun problems(spec: ServiceSpec): List<FieldProblem> =
        buildList {
            if (!isName(spec.name.value)) add(FieldProblem("name", "has another form", NAME_FORM))
            if (!isName(spec.team.value)) add(FieldProblem("team", "has another form", NAME_FORM))
            if (!isPool(spec.target.pool.value)) add(FieldProblem("pool", "has another form", POOL_FORM))
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

    /** The problems of a set of services as one line each, with names used twice. */
    fun problems(specs: List<ServiceSpec>): List<String> {
        val ofServices = specs.flatMap { spec -> problems(spec).map { "service '${spec.name}': ${it.message}" } }
        val duplicates = specs.groupBy { it.name }.filterValues { it.size > 1 }.keys
        return ofServices + duplicates.map { "service '$it': the name is used more than once" }
    }

    private fun documentProblems(spec: ServiceSpec) =
        buildList {
            if (spec.target !is ServiceTarget.Model) {
                add(FieldProblem("mode", "is \"document\" without a model", "\"document\" together with model"))
            }
            if (spec.neverRepeat.isNotEmpty()) {
                // A document is assigned again when its runner is lost, so it may run twice.
                add(FieldProblem("never_repeat", "is given for a document", "never_repeat with mode = \"answer\""))
            }
        }
}
