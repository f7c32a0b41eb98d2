package samphirechute.routing.placing

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

class RankedEngineSpec {
    /** Guards the choice of engines, which is that of a whole sort. */
    @Test
    fun `the smallest elements are those that a sort puts first, in its order`() {
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
