package samphirechute.bench.store

import org.HdrHistogram.Histogram
import samphirechute.core.InstanceId
import samphirechute.core.RequestId
import samphirechute.core.ServiceName
import samphirechute.core.TeamName
import samphirechute.state.command.ClaimKey
import samphirechute.state.command.ClaimResult
import samphirechute.state.command.ClaimState
import samphirechute.state.command.Claimant
import samphirechute.state.command.Command
import samphirechute.state.command.CommandResult
import samphirechute.state.raft.ProposalOutcome
import java.nio.file.Files
import kotlin.io.path.ExperimentalPathApi
import kotlin.io.path.deleteRecursively
import kotlin.random.Random

/** Claims at the level of the log: rate and latency with real syncs, then resends while claimants and leaders die. */
object Claims {
    private const val RATE_CLAIMS = 20_000
    private const val IN_FLIGHT = 128
    private const val REQUESTS = 2_500
    private const val RESENDS = 5
    private const val CLAIMANTS = 5
    private const val KILL_EVERY = 1_500
    private const val LIMIT_MS = 300_000L

    fun run(
        seed: Long,
        out: (String) -> Unit,
    ) {
        measureRate(seed, RATE_CLAIMS, out)
        measureResends(seed, REQUESTS, out)
    }

    /** A run that takes a second or two. */
    fun smoke(
        seed: Long,
        out: (String) -> Unit,
    ) {
        measureRate(seed, 500, out)
        measureResends(seed, 400, out)
    }

    private fun measureRate(
        seed: Long,
        count: Int,
        out: (String) -> Unit,
    ) = withStore(seed) { store, _ ->
        val latency = Histogram(3)
        var sent = 0
        var done = 0
        val startNs = System.nanoTime()
        val leader = checkNotNull(store.leader)

        fun next() {
            if (sent == count) return
            val number = sent++
            val sentNs = System.nanoTime()
            store.propose(leader, claim(key("rate-$number"), Claimant(InstanceId("entry"), 1))) {
                check((it as? ProposalOutcome.Committed)?.result == CommandResult.Claim(ClaimState.Accepted)) { "$it" }
                latency.recordValue((System.nanoTime() - sentNs) / 1_000)
                done++
                next()
            }
        }
        repeat(IN_FLIGHT) { next() }
        store.runUntil(LIMIT_MS) { done == count }
        val seconds = (System.nanoTime() - startNs) / 1e9
        out(
            "claims rate: $count claims, $IN_FLIGHT in flight, 3 members, real fsync: " +
                "${(count / seconds).toLong()}/s, " +
                "p50 ${latency.ms(50.0)} ms, p99 ${latency.ms(99.0)} ms, max ${latency.ms(100.0)} ms",
        )
    }

    private fun measureResends(
        seed: Long,
        requests: Int,
        out: (String) -> Unit,
    ) = withStore(seed) { store, random ->
        val clients = ResendingCallers(store, random)
        val total = requests * (1 + RESENDS)
        var killed = 0
        var nextKill = KILL_EVERY.coerceAtMost(total / 4)
        for (number in 0 until total) {
            clients.send(number % requests, random.nextInt(CLAIMANTS))
            if (number % IN_FLIGHT == 0) store.runUntil(LIMIT_MS) { clients.open < IN_FLIGHT }
            if (number >= nextKill) {
                nextKill += KILL_EVERY.coerceAtMost(total / 4)
                killed++
                clients.restart(random.nextInt(CLAIMANTS))
                val victim = store.leader
                victim?.kill()
                store.runUntil(LIMIT_MS) { store.leader != null }
                victim?.start()
            }
        }
        store.runUntil(LIMIT_MS) { clients.open == 0 }
        out(
            "claims resends: $requests requests, ${requests * RESENDS} resends, " +
                "$killed kills of leader and claimant: " +
                "${clients.duplicates} duplicates, ${clients.runs} runs, ${clients.summary()}",
        )
    }

    private fun Histogram.ms(percentile: Double) = "%.2f".format(getValueAtPercentile(percentile) / 1e3)

    @OptIn(ExperimentalPathApi::class)
    private fun withStore(
        seed: Long,
        action: (LocalStore, Random) -> Unit,
    ) {
        val folder = Files.createTempDirectory("samphirechute-bench")
        val random = Random(seed)
        try {
            LocalStore(folder, random).use {
                it.start()
                action(it, random)
            }
        } finally {
            folder.deleteRecursively()
        }
    }

    internal fun key(id: String) = ClaimKey(TeamName("team"), ServiceName("booking"), RequestId(id))

    internal fun claim(
        key: ClaimKey,
        claimant: Claimant,
    ) = Command.ClaimRequest(key, "digest", claimant, System.currentTimeMillis() + 60_000)
}

/** Entry instances that run what they have a claim for, lose some outcomes when they die, and give some claims back. */
private class ResendingCallers(
    private val store: LocalStore,
    private val random: Random,
) {
    private val incarnations = HashMap<Int, Long>()
    private val runsByRequest = HashMap<Int, Int>()
    private val answers = sortedMapOf<String, Int>()
    var open = 0
        private set
    val duplicates get() = runsByRequest.values.count { it > 1 }
    val runs get() = runsByRequest.values.sum()

    fun send(
        request: Int,
        entry: Int,
    ) {
        val claimant = claimant(entry)
        val at = store.leader ?: store.all.filter { it.isRunning }.random(random)
        open++
        store.propose(at, Claims.claim(Claims.key("request-$request"), claimant)) { outcome ->
            open--
            val state = ((outcome as? ProposalOutcome.Committed)?.result as? CommandResult.Claim)?.state
            count(state?.let { it::class.simpleName } ?: outcome::class.simpleName.orEmpty())
            if (state == ClaimState.Accepted && claimant == claimant(entry)) run(request, claimant)
        }
    }

    fun restart(entry: Int) {
        incarnations[entry] = claimant(entry).incarnation + 1
    }

    fun summary() = answers.entries.joinToString { "${it.key} ${it.value}" }

    private fun run(
        request: Int,
        claimant: Claimant,
    ) {
        val key = Claims.key("request-$request")
        val end =
            when (random.nextInt(10)) {
                0 -> Command.ReleaseClaim(key, claimant)
                1 -> null
                else -> Command.FinishClaim(key, claimant, ClaimResult(200, "text/plain", "done"))
            }
        if (end !is Command.ReleaseClaim) runsByRequest.merge(request, 1, Int::plus)
        end?.let(::propose)
    }

    private fun propose(command: Command) {
        val at = store.leader ?: return
        open++
        store.propose(at, command) { open-- }
    }

    private fun claimant(entry: Int) = Claimant(InstanceId("entry-$entry"), incarnations[entry] ?: 1)

    private fun count(name: String) = answers.merge(name, 1, Int::plus)
}
