package samphirechute.core.settings

/** One field that does not fulfil a rule. */
data class FieldProblem(
    val field: String,
    val problem: String,
    val accepted: String,
) {
    val message: String get() = "field '${this.field}' $problem; accepted: $accepted"
}
