package samphirechute.bench.limits

import samphirechute.bench.limits.LimitsAction.Kind
import kotlin.random.Random

/** Something that happens at [atMs] to the upstream, control instance or entry instance with the index [target]. */
internal data class LimitsAction(
    val atMs: Long,
    val kind: Kind,
    val target: Int,
    val durationMs: Long = 0,
    val perS: Double? = null,
) {
    enum class Kind {
        NAME_LIMIT,
        RESTART_UPSTREAM,
        KILL_LEADER,
        KILL_CONTROL,
        KILL_ALL_CONTROLS,
        KILL_ENTRY,
        FREEZE_CONTROL,
        FREEZE_ENTRY,
    }
}

/** The limits that upstreams name and the faults of a run, all from one seed. */
internal class LimitsPlan(
    private val random: Random,
    private val durationMs: Long,
    private val upstreams: Int,
    private val controls: Int,
    private val entries: Int,
) {
    val actions: List<LimitsAction> = (List(upstreams, ::limits).flatten() + faults()).sortedBy { it.atMs }

    /** An upstream names no limit, then one or two in turn, and so on. */
    private fun limits(upstream: Int): List<LimitsAction> {
        val planned = ArrayList<LimitsAction>()
        var atMs = random.nextLong(FREE_MS.last)
        while (atMs < durationMs) {
            repeat(if (random.nextInt(CHANGE_ONE_IN) == 0) 2 else 1) {
                planned += LimitsAction(atMs, Kind.NAME_LIMIT, upstream, perS = LIMITS_PER_S.random(random))
                atMs += random.nextLong(LIMITED_MS.first, LIMITED_MS.last)
            }
            planned += LimitsAction(atMs, Kind.NAME_LIMIT, upstream, perS = null)
            atMs += random.nextLong(FREE_MS.first, FREE_MS.last)
        }
        return planned.filter { it.atMs < durationMs }
    }

    private fun faults(): List<LimitsAction> {
        val planned = ArrayList<LimitsAction>()
        var atMs = FIRST_FAULT_MS
        while (atMs < durationMs - LAST_FAULT_MS) {
            planned += fault(atMs)
            atMs += random.nextLong(FAULT_GAP_MS)
        }
        return planned
    }

    private fun fault(atMs: Long): LimitsAction {
        val kind = Kind.entries.filter { it != Kind.NAME_LIMIT }.random(random)
        val targets =
            when (kind) {
                Kind.NAME_LIMIT, Kind.RESTART_UPSTREAM -> upstreams
                Kind.KILL_ENTRY, Kind.FREEZE_ENTRY -> entries
                else -> controls
            }
        val lengths = if (kind in listOf(Kind.FREEZE_CONTROL, Kind.FREEZE_ENTRY)) FROZEN_MS else DOWN_MS
        return LimitsAction(atMs, kind, random.nextInt(targets), random.nextLong(lengths.first, lengths.last))
    }

    private companion object {
        val LIMITS_PER_S = listOf(0.0, 0.25, 1.0, 1.7, 5.0, 20.0)
        const val CHANGE_ONE_IN = 3

        /** Long enough for several spans after the time at which a limit has to be kept. */
        val LIMITED_MS = 9_000L..18_000L
        val FREE_MS = 4_000L..9_000L
        val FROZEN_MS = 1_000L..3_000L
        val DOWN_MS = 50L..2_000L

        /** On average a fault begins before the earlier ones have ended. */
        const val FAULT_GAP_MS = 5_000L
        const val FIRST_FAULT_MS = 4_000L
        const val LAST_FAULT_MS = 6_000L
    }
}
