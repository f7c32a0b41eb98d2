package samphirechute.routing.ledger

import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.core.PoolName
import samphirechute.core.RequestId
import samphirechute.core.ServiceName
import samphirechute.core.TeamName
import samphirechute.core.UpstreamId
import samphirechute.core.service.Urgency
import samphirechute.routing.Grant
import samphirechute.routing.GrantEnding
import samphirechute.routing.GrantKey
import samphirechute.routing.GrantRequest
import samphirechute.routing.GrantResult
import samphirechute.routing.UpstreamCapacity
import samphirechute.routing.UpstreamKind
import samphirechute.routing.UpstreamReport

internal val POOL = PoolName("chat")
internal val ENGINE =
    UpstreamCapacity(
        maxConcurrency = 8,
        memoryTokens = 100_000,
        prefillTokensPerSecond = 10_000.0,
        decodeStepMs = 10.0,
        coldConcurrency = 8,
        coldPrefillTokens = 1_000_000,
    )

/** A ledger on virtual time in a running epoch, with shorthands for its inputs. */
internal class LedgerFixture(
    engines: Int = 1,
    private val capacity: UpstreamCapacity = ENGINE,
    private val kind: UpstreamKind = UpstreamKind.ENGINE,
    limits: LedgerLimits = LedgerLimits(),
) {
    val ledger = DomainLedger(limits)
    var nowMs = 0L
    private val names = List(engines) { "e$it" }
    private var sequence = 0L
    val reports = HashMap<String, UpstreamReport>()
    val outputs = ArrayList<LedgerOutput>()

    init {
        send(LedgerInput.EpochBegan(1))
        names.forEach { report(it) }
        advance(2_000)
    }

    fun send(input: LedgerInput): List<LedgerOutput> = ledger.handle(input, nowMs).also { outputs += it }

    fun report(
        name: String,
        change: UpstreamReport.() -> UpstreamReport = { this },
    ): List<LedgerOutput> {
        val fresh =
            UpstreamReport(
                upstream = UpstreamId(name),
                failureDomain = FailureDomain("sofia-a"),
                address = HostPort("127.0.0.1", 1),
                generation = 1,
                sequence = 0,
                kind = kind,
                pools = setOf(POOL),
                capacity = capacity,
            )
        val next = (reports[name] ?: fresh).change().copy(sequence = ++sequence)
        reports[name] = next
        return send(LedgerInput.UpstreamReported(next))
    }

    /** Advances the time in ticks of 50 ms. Sends reports every second if [isReporting], and renews [renewing]. */
    fun advance(
        durationMs: Long,
        isReporting: Boolean = true,
        renewing: List<Grant> = emptyList(),
    ): List<LedgerOutput> {
        val from = outputs.size
        val untilMs = nowMs + durationMs
        while (nowMs < untilMs) {
            nowMs += 50
            if (isReporting && nowMs % 1_000 == 0L) names.forEach { report(it) }
            if (renewing.isNotEmpty() && nowMs % 500 == 0L) send(LedgerInput.GrantsRenewed(INSTANCE, renewing))
            send(LedgerInput.Ticked)
        }
        return outputs.subList(from, outputs.size).toList()
    }

    fun ask(request: GrantRequest): List<LedgerOutput> = send(LedgerInput.GrantRequested(request))

    fun release(
        grant: Grant,
        ending: GrantEnding = GrantEnding.COMPLETED,
        firstTokenMs: Long? = grant.expectedFirstTokenMs,
        cachedTokens: Long = 0,
    ) = send(LedgerInput.GrantReleased(grant.key, GrantResult(ending, firstTokenMs, 10.0, 10, cachedTokens)))

    fun view(name: String = "e0") = ledger.views(nowMs).single { it.upstream.value == name }

    companion object {
        val INSTANCE = InstanceId("i1")

        fun request(
            id: String,
            promptTokens: Long = 1_000,
            maxTokens: Long = 100,
            team: String = "t",
            share: Int = 1,
            urgency: Urgency = Urgency.NORMAL,
            firstTokenMs: Long = 10_000,
            remainingMs: Long = 60_000,
        ) = GrantRequest(
            requestId = RequestId(id),
            attempt = 1,
            instance = INSTANCE,
            service = ServiceName("s"),
            team = TeamName(team),
            share = share,
            urgency = urgency,
            pool = POOL,
            promptTokens = promptTokens,
            maxTokens = maxTokens,
            prefixes = emptyList(),
            firstTokenRemainingMs = firstTokenMs,
            remainingMs = remainingMs,
        )
    }
}

internal val List<LedgerOutput>.grants: List<Grant> get() = filterIsInstance<LedgerOutput.Granted>().map { it.grant }
internal val List<LedgerOutput>.grantedIds: List<String> get() = grants.map { it.key.requestId.value }
internal val List<LedgerOutput>.refusals get() = filterIsInstance<LedgerOutput.Refused>()
internal val List<LedgerOutput>.reclaims get() = filterIsInstance<LedgerOutput.Reclaim>()
internal val Grant.upstreamNames: List<String> get() = parts.map { it.upstream.value }
internal val GrantRequest.withdrawn: LedgerInput get() =
    LedgerInput.RequestWithdrawn(
        GrantKey(instance, requestId, attempt),
    )
