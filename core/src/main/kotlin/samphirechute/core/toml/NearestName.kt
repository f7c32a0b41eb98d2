package samphirechute.core.toml

import kotlin.math.min

private const val MAX_EDITS = 3

/** The name among [known] that [name] is most likely a misspelling of; null when none is close. */
internal fun nearestName(
    name: String,
    known: Collection<String>,
): String? =
    known
        .map { it to edits(name.lowercase(), it) }
        .filter { (candidate, edits) -> edits <= MAX_EDITS && edits < candidate.length }
        .minByOrNull { it.second }
        ?.first

/** The Levenshtein distance. */
private fun edits(
    from: String,
    to: String,
): Int {
    var row = IntArray(to.length + 1) { it }
    for (i in from.indices) {
        val next = IntArray(to.length + 1)
        next[0] = i + 1
        for (j in to.indices) {
            val replaced = row[j] + if (from[i] == to[j]) 0 else 1
            next[j + 1] = min(replaced, min(row[j + 1], next[j]) + 1)
        }
        row = next
    }
    return row.last()
}
