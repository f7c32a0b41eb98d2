package samphirechute.bench.routing

import samphirechute.routing.PromptPrefix
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.pow
import kotlin.random.Random
import kotlin.random.asJavaRandom

/**
 * A seeded workload with Poisson arrivals: prompts of 1,000 tokens and more, one in fifty over 100,000 tokens and up
 * to 1,000,000. [load] is the part of what the engines can prefill while they decode.
 */
class Workload(
    private val seed: Long,
    private val engines: Int,
    private val load: Double,
    private val durationMs: Long,
    private val teams: Int = 10,
    private val hasLong: Boolean = true,
    private val shortDeadlines: Deadlines = Deadlines(5_000, 60_000),
    private val longDeadlines: Deadlines = Deadlines(240_000, 600_000),
    private val teamOf: (Random) -> Int = { it.nextInt(teams) },
    private val hasPrefixes: Boolean = false,
) {
    class Deadlines(
        val firstTokenMs: Long,
        val totalMs: Long,
    )

    fun requests(): List<SimRequest> {
        val random = Random(seed)
        val gauss = random.asJavaRandom()
        val perMs = load * engines * EngineModel.PREFILL_PER_MS / meanPrompt()
        val requests = ArrayList<SimRequest>()
        var atMs = 0.0
        while (true) {
            atMs += -ln(1 - random.nextDouble()) / perMs
            if (atMs >= durationMs) return requests
            val isLong = hasLong && random.nextDouble() < LONG_PART
            val prompt = if (isLong) longPrompt(random) else shortPrompt(gauss.nextGaussian())
            val answer = (ANSWER_MEDIAN * exp(ANSWER_SIGMA * gauss.nextGaussian())).toLong()
            val team = teamOf(random)
            val prefix = if (hasPrefixes && !isLong) prefix(team, random) else null
            val deadlines = if (isLong) longDeadlines else shortDeadlines
            requests +=
                SimRequest(
                    index = requests.size,
                    atMs = atMs.toLong(),
                    team = team,
                    promptTokens = prompt + (prefix?.tokens ?: 0L),
                    answerTokens = answer.coerceIn(8, SimRequest.MAX_ANSWER_TOKENS),
                    firstTokenMs = deadlines.firstTokenMs,
                    deadlineMs = deadlines.totalMs,
                    prefix = prefix,
                )
        }
    }

    private fun prefix(
        team: Int,
        random: Random,
    ) = (team * PREFIXES_PER_TEAM + random.nextInt(PREFIXES_PER_TEAM)).let { PromptPrefix(it + 1L, PREFIX_TOKENS) }

    private fun shortPrompt(gauss: Double) = (SHORT_MEDIAN * exp(gauss)).toLong().coerceIn(1_000, 30_000)

    /** A bounded Pareto distribution: most long prompts are a few times 100,000 tokens, few are a million. */
    private fun longPrompt(random: Random): Long {
        val part = 1 - random.nextDouble() * (1 - (LONG_MIN / LONG_MAX).pow(LONG_SHAPE))
        return (LONG_MIN * part.pow(-1 / LONG_SHAPE)).toLong()
    }

    private fun meanPrompt(): Double {
        val shortMean = SHORT_MEAN + if (hasPrefixes) PREFIX_TOKENS else 0L
        if (!hasLong) return shortMean
        return (1 - LONG_PART) * shortMean + LONG_PART * LONG_MEAN
    }

    private companion object {
        const val LONG_PART = 0.02
        const val SHORT_MEDIAN = 2_200.0

        /** Mean of the bounded log-normal distribution with this median. */
        const val SHORT_MEAN = 3_590.0
        const val LONG_MIN = 1e5
        const val LONG_MAX = 1e6
        const val LONG_SHAPE = 1.5

        /** Mean of the bounded Pareto distribution with this shape. */
        const val LONG_MEAN = 211_900.0
        const val ANSWER_MEDIAN = 200.0
        const val ANSWER_SIGMA = 0.8
        const val PREFIXES_PER_TEAM = 4
        const val PREFIX_TOKENS = 4_000L
    }
}
