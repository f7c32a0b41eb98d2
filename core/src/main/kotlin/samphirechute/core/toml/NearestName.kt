package samphirechute.core.toml

import kotlin.math.min

private const val MAX_EDIT_DISTANCE = 3

/** Returns the name in [known] that [name] most likely misspells, or null if none is similar enough. */
internal fun nearestName(
    name: String,
    known: Collection<String>,
): String? =
    known
        .map { it to editDistance(name.lowercase(), it) }
        .filter { (candidate, editDistance) -> editDistance <= MAX_EDIT_DISTANCE && editDistance < candidate.length }
        .minByOrNull { it.second }
        ?.first

/** Returns the Levenshtein distance between [from] and [to]. */
private fun editDistance(
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
