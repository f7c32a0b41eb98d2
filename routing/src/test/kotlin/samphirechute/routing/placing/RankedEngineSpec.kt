package samphirechute.routing.placing

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

class RankedEngineSpec {
    /** Engines must be selected exactly as if all of them were sorted. */
    @Test
    fun `the smallest elements are the first ones of a sorted list, in the same order`() {
        val random = Random(4)
        repeat(200) {
            val numbers = List(random.nextInt(1, 60)) { index -> random.nextInt(10) to index }
            val comparator = compareBy<Pair<Int, Int>>({ it.first }, { it.second })
            for (count in 1..numbers.size) {
                assertEquals(numbers.sortedWith(comparator).take(count), numbers.smallest(count, comparator))
            }
        }
    }
}
