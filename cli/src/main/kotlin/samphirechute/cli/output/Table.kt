package samphirechute.cli.output

/** A table for people: columns are as wide as their longest cell. */
internal class Table(
    private vararg val headings: String,
) {
    private val rows = mutableListOf<List<String>>()

    fun row(vararg cells: Any?) = apply { rows += cells.map { it?.toString() ?: "-" } }

    override fun toString(): String {
        val all = listOf(headings.toList()) + rows
        val widths = headings.indices.map { column -> all.maxOf { it[column].length } }
        return all.joinToString("\n") { row ->
            row.mapIndexed { column, cell -> cell.padEnd(widths[column]) }.joinToString("  ").trimEnd()
        }
    }
}
