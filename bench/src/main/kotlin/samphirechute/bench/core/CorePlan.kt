package samphirechute.bench.core

import kotlin.random.Random

/** How a control instance goes that is replaced. */
internal enum class Going {
    /** It stops to answer while its address goes on taking packets; the successor starts after it. */
    SILENT,

    /** It loses power, and the successor starts after it. */
    KILLED,

    /** The successor starts first, and the instance is asked to stop after it. */
    STOPPED,
}

/** When all processes lose power. */
internal enum class Strike { AFTER_ACKNOWLEDGEMENT, AFTER_SENDING, IN_REPLACEMENT }

/** What is left of a data folder after a loss of power. */
internal enum class Kept {
    /** All that was written; control instances run without a shadow of their data folder. */
    WRITTEN,

    /** What was synced. */
    SYNCED,

    /** What was synced and a part of what was appended after it. */
    PART,
}

internal class Replacement(
    /** The index of the control instance. */
    val control: Int,
    val going: Going,
    /** The time before it. */
    val pauseMs: Long,
    /** The time between the end of the old instance and the start of the new one, or the other way round. */
    val gapMs: Long,
    /** The age of the list of addresses that the successor starts with. */
    val seedLagMs: Long,
)

/** All random choices of one round that do not depend on what the instances answer. */
internal class CorePlan(
    random: Random,
    round: Int,
) {
    val entries = ENTRIES.random(random)
    val furtherRoutes = if (round % ROUNDS_BETWEEN_LARGE == ROUNDS_BETWEEN_LARGE - 1) FURTHER_ROUTES else 0
    val versionEveryMs = VERSION_EVERY_MS.random(random)
    val secondOperatorPercent = if (random.nextBoolean()) SECOND_OPERATOR_PERCENT else 0

    /** Mostly one way of going for the whole core, as an operator replaces it for one reason. */
    val replacements =
        run {
            val going = Going.entries.random(random)
            (0 until CONTROLS).shuffled(random).map {
                val isUsual = random.nextInt(PERCENT) < USUAL_PERCENT
                Replacement(
                    it,
                    if (isUsual) going else Going.entries.random(random),
                    PAUSE_MS.random(random),
                    GAP_MS.random(random),
                    SEED_LAG_MS.random(random),
                )
            }
        }

    /** Times after the start of each replacement at which some control instance is suspended, with the length. */
    val freezes =
        replacements.map {
            if (random.nextInt(PERCENT) < FREEZE_PERCENT) GAP_MS.random(random) to FREEZE_MS.random(random) else null
        }
    val strike = Strike.entries.random(random)
    val strikeAfterMs =
        when (strike) {
            Strike.AFTER_ACKNOWLEDGEMENT -> 0L
            Strike.AFTER_SENDING -> SENDING_MS.random(random)
            Strike.IN_REPLACEMENT -> REPLACEMENT_MS.random(random)
        }

    /** The time from the last successor to the strike that follows a replacement. */
    val settleMs = SETTLE_MS.random(random)

    /** The control instance whose disk is lost, none while the machine before it counts as lost ([CATCH_UP_MS]). */
    val lostDisk =
        (0 until CONTROLS)
            .random(random)
            .takeIf { random.nextBoolean() && strike != Strike.IN_REPLACEMENT && settleMs >= CATCH_UP_MS }
    val downMs = DOWN_MS.random(random)
    val kept = Kept.entries.random(random)

    /** True if an entry instance is suspended while the whole core is replaced. */
    val suspendsEntry = random.nextInt(PERCENT) < SUSPEND_PERCENT

    override fun toString() =
        "entries=$entries routes=$furtherRoutes version_every_ms=$versionEveryMs " +
            "second_operator=$secondOperatorPercent " +
            "replaced=${replacements.joinToString(",") { "${it.control}:${it.going}:${it.gapMs}" }} " +
            "freezes=${freezes.joinToString(",") { "${it?.second ?: 0}" }} " +
            "strike=$strike strike_after_ms=$strikeAfterMs settle_ms=$settleMs " +
            "lost_disk=$lostDisk down_ms=$downMs kept=$kept suspends_entry=$suspendsEntry"

    companion object {
        const val CONTROLS = 3
        private const val PERCENT = 100
        private val ENTRIES = listOf(3, 4, 6, 15)
        private const val ROUNDS_BETWEEN_LARGE = 3
        private const val FURTHER_ROUTES = 400
        private val VERSION_EVERY_MS = listOf(100L, 300L, 1_200L)
        private const val SECOND_OPERATOR_PERCENT = 30
        private const val USUAL_PERCENT = 70

        /** No shorter than [CATCH_UP_MS], so that no two disks are lost at the same time. */
        private val PAUSE_MS = 4_500L..10_000L
        private val GAP_MS = 500L..3_000L
        private val SEED_LAG_MS = 0L..3_000L
        private const val FREEZE_PERCENT = 25
        private const val SUSPEND_PERCENT = 40
        private val FREEZE_MS = 300L..2_500L
        private val SENDING_MS = 5L..400L
        private val REPLACEMENT_MS = 0L..3_500L
        private val SETTLE_MS = 0L..9_000L
        private const val CATCH_UP_MS = 4_500L
        private val DOWN_MS = 100L..4_000L
    }
}
