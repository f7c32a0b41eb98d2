package samphirechute.serving.cluster

import kotlin.random.Random

private const val FIRST_MS = 150L
private const val MOST_DOUBLINGS = 3

/**
 * The pause before an instance asks a control instance again that has failed [failures] times in a row. The load that it
 * answers is a whole fleet that has lost the same instance: it comes back spread out, and no faster than it is accepted.
 */
internal fun reconnectDelayMs(
    failures: Int,
    random: Random,
): Long {
    val mostMs = FIRST_MS shl (failures - 1).coerceIn(0, MOST_DOUBLINGS)
    return random.nextLong(mostMs / 2, mostMs + 1)
}
