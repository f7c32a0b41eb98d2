package samphirechute.core.settings

/** A field that violates a rule, with the values that are accepted. */
data class FieldProblem(
    val field: String,
    val problem: String,
    val accepted: String,
) {
    val message: String get() = "field '${this.field}' $problem; accepted: $accepted"
}
