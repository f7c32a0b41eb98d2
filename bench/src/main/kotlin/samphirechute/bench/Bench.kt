package samphirechute.bench

import java.util.Locale

/** A measurement that prints its figures and never fails on one of them. */
fun interface Bench {
    fun run(
        seed: Long,
        figures: Figures,
    )
}

/** Prints one line for each figure: name, value, baseline, ratio. A figure without a baseline has `-` instead. */
class Figures {
    fun add(
        name: String,
        value: Double,
        baseline: Double? = null,
    ) {
        val ratio = if (baseline == null || baseline == 0.0) "-" else format(value / baseline)
        println("%-44s %12s %12s %8s".format(name, format(value), baseline?.let(::format) ?: "-", ratio))
    }

    fun add(
        name: String,
        value: Long,
        baseline: Long? = null,
    ) = add(name, value.toDouble(), baseline?.toDouble())

    private fun format(value: Double) =
        if (value == Math.rint(value) && value < 1e12) {
            value.toLong().toString()
        } else {
            "%.3f".format(Locale.ROOT, value)
        }
}
