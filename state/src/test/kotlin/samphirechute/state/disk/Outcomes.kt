package samphirechute.state.disk

import kotlin.random.Random

/** Runs a test for every sequence of choices it can make, or for a seeded sample where there are too many. */
internal class Outcomes(
    private val limit: Int,
    private val random: Random,
) {
    private class Choice(
        var value: Int,
        val outcomes: Int,
    )

    fun forEach(run: (choose: (Int) -> Int) -> Unit) {
        val choices = ArrayList<Choice>()
        repeat(limit) {
            var position = 0
            run { outcomes ->
                if (position == choices.size) choices += Choice(0, outcomes)
                choices[position++].value
            }
            while (choices.isNotEmpty() && choices.last().value == choices.last().outcomes - 1) choices.removeLast()
            if (choices.isEmpty()) return
            choices.last().value++
        }
        repeat(limit) { run { outcomes -> random.nextInt(outcomes) } }
    }
}
