package samphirechute.serving.cluster

import kotlin.random.Random

private const val FIRST_DELAY_MS = 150L
private const val MAX_DOUBLINGS = 3

/**
 * The delay before the next call to a control instance that has failed [failures] times in a row: exponential backoff
 * with jitter. When a whole fleet has lost the same instance, its reconnects are spread out and the instance can accept
 * them.
 */
internal fun reconnectDelayMs(
    failures: Int,
    random: Random,
): Long {
    val maxMs = FIRST_DELAY_MS shl (failures - 1).coerceIn(0, MAX_DOUBLINGS)
    return random.nextLong(maxMs / 2, maxMs + 1)
}
