package samphirechute.bench.stops

import samphirechute.bench.stops.StopsAction.Kind
import kotlin.random.Random

/** Something that happens at [atMs] to the upstream, control instance or entry instance with the index [target]. */
internal data class StopsAction(
    val atMs: Long,
    val kind: Kind,
    val target: Int = 0,
    /** How long a process or an upstream stays away, or is suspended. */
    val durationMs: Long = 0,
    /** A signal that follows SIGTERM. */
    val second: SecondSignal? = null,
) {
    enum class Kind {
        STOP_ENTRY,
        HANG_UP_ENTRY,
        KILL_ENTRY,
        FREEZE_ENTRY,
        KILL_CONTROL,
        FREEZE_CONTROL,
        RESTART_UPSTREAM,
        NEW_CONFIG,
    }

    data class SecondSignal(
        val name: String,
        val afterMs: Long,
    )
}

/** The planned stops and the faults of a run, all from one seed: most stops come in series, and faults overlap them. */
internal class StopsPlan(
    private val random: Random,
    private val durationMs: Long,
    private val upstreams: Int,
    private val controls: Int,
    private val entries: Int,
) {
    val actions: List<StopsAction> = (series() + others()).sortedBy { it.atMs }

    private fun series(): List<StopsAction> {
        val planned = ArrayList<StopsAction>()
        var atMs = FIRST_STOP_MS
        while (atMs < durationMs - LAST_STOP_MS) {
            if (random.nextInt(CONFIG_BESIDE_OF) == 0) {
                planned += StopsAction(atMs + random.nextLong(CONFIG_WITHIN_MS), Kind.NEW_CONFIG)
            }
            for (entry in (0 until entries).shuffled(random).take(random.nextInt(1, MOST_STOPS + 1))) {
                planned += StopsAction(atMs, Kind.STOP_ENTRY, entry, within(DOWN_MS), secondSignal())
                atMs += within(STOP_GAP_MS)
            }
            atMs += within(SERIES_GAP_MS)
        }
        return planned
    }

    private fun secondSignal() =
        StopsAction
            .SecondSignal(SECOND_SIGNALS.random(random), within(SECOND_AFTER_MS))
            .takeIf { random.nextInt(SECOND_OF) == 0 }

    private fun others(): List<StopsAction> {
        val planned = ArrayList<StopsAction>()
        var atMs = FIRST_STOP_MS
        while (atMs < durationMs - LAST_FAULT_MS) {
            atMs += random.nextLong(FAULT_GAP_MS)
            planned += other(atMs)
        }
        return planned
    }

    private fun other(atMs: Long): StopsAction {
        val kind = Kind.entries.filter { it != Kind.STOP_ENTRY }.random(random)
        val targets =
            when (kind) {
                Kind.RESTART_UPSTREAM -> upstreams
                Kind.STOP_ENTRY, Kind.HANG_UP_ENTRY, Kind.KILL_ENTRY, Kind.FREEZE_ENTRY -> entries
                Kind.KILL_CONTROL, Kind.FREEZE_CONTROL, Kind.NEW_CONFIG -> controls
            }
        val lengths = if (kind in listOf(Kind.FREEZE_CONTROL, Kind.FREEZE_ENTRY)) FROZEN_MS else DOWN_MS
        return StopsAction(atMs, kind, random.nextInt(targets), within(lengths))
    }

    private fun within(range: LongRange) = random.nextLong(range.first, range.last)

    private companion object {
        const val FIRST_STOP_MS = 3_000L

        /** A stop may take the whole grace period, and the instance is to start again within the run. */
        const val LAST_STOP_MS = 9_000L
        const val LAST_FAULT_MS = 4_000L
        const val MOST_STOPS = 4
        val STOP_GAP_MS = 300L..3_000L
        val SERIES_GAP_MS = 1_000L..6_000L
        const val CONFIG_BESIDE_OF = 3
        const val CONFIG_WITHIN_MS = 6_000L
        val SECOND_SIGNALS = listOf("TERM", "HUP")
        const val SECOND_OF = 3
        val SECOND_AFTER_MS = 100L..6_000L
        val DOWN_MS = 50L..1_500L
        val FROZEN_MS = 200L..1_500L
        const val FAULT_GAP_MS = 9_000L
    }
}
