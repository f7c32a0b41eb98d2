package samphirechute.bench.routing

import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.core.RequestId
import samphirechute.routing.DomainChooser
import samphirechute.routing.DomainDigest
import samphirechute.routing.GrantEnding
import samphirechute.routing.RefusalReason
import samphirechute.routing.UpstreamReport

/** The ledgers of all failure domains, with the choice of domain at the entry instances. */
class DomainDispatcher(
    private val domains: List<FailureDomain>,
) : Dispatcher {
    private val ledgers = domains.associateWith { LedgerDispatcher() }
    private val choosers = domains.associateWith(::DomainChooser)
    private val requests = HashMap<RequestId, SimRequest>()
    private val tried = HashMap<RequestId, List<FailureDomain>>()
    private val drained = HashSet<FailureDomain>()
    private var sequence = 0L
    private var digestsMs = Long.MIN_VALUE / 2
    private var pending = emptyList<DomainDigest>()

    /** An order to drain a domain, which its coordinator learns at once and the others with its next digest. */
    fun setDrained(
        domain: FailureDomain,
        isDrained: Boolean,
        nowMs: Long,
    ): List<Decision> {
        if (isDrained) drained += domain else drained -= domain
        return follow(domain, ledgers.getValue(domain).drain(isDrained, nowMs), nowMs)
    }

    override fun ask(
        request: SimRequest,
        nowMs: Long,
    ): List<Decision> {
        requests[request.id] = request
        return askNext(request, nowMs)
    }

    override fun ended(
        request: SimRequest,
        ending: GrantEnding,
        nowMs: Long,
    ): List<Decision> {
        val domain = tried[request.id]?.last() ?: return emptyList()
        return follow(domain, ledgers.getValue(domain).ended(request, ending, nowMs), nowMs)
    }

    override fun reported(
        report: UpstreamReport,
        nowMs: Long,
    ) = report.failureDomain.let { follow(it, ledgers.getValue(it).reported(report, nowMs), nowMs) }

    override fun ticked(nowMs: Long): List<Decision> {
        if (nowMs - digestsMs >= DIGEST_MS) {
            digestsMs = nowMs
            // Digests arrive one period after they were made, as over one more instance.
            for (digest in pending) choosers.values.forEach { it.update(digest, nowMs) }
            sequence++
            pending = domains.map { digestOf(it, nowMs) }
        }
        return domains.flatMap { follow(it, ledgers.getValue(it).ticked(nowMs), nowMs) }
    }

    private fun askNext(
        request: SimRequest,
        nowMs: Long,
    ): List<Decision> {
        val home = domains[request.instance % domains.size]
        val before = tried[request.id].orEmpty()
        val target = choosers.getValue(home).next(request.grantRequest(nowMs), before, nowMs)
        val domain = target?.failureDomain ?: return listOf(Decision.Refuse(request.id, RefusalReason.NO_UPSTREAM))
        tried[request.id] = before + domain
        return follow(domain, ledgers.getValue(domain).ask(request, nowMs), nowMs)
    }

    /** Sends a request that was refused to one other domain. */
    private fun follow(
        domain: FailureDomain,
        decisions: List<Decision>,
        nowMs: Long,
    ): List<Decision> =
        decisions.flatMap { decision ->
            if (decision is Decision.Refuse && tried[decision.id]?.last() == domain) {
                askNext(requests.getValue(decision.id), nowMs)
            } else {
                listOf(decision)
            }
        }

    private fun digestOf(
        domain: FailureDomain,
        nowMs: Long,
    ) = DomainDigest(
        failureDomain = domain,
        epoch = 1,
        sequence = sequence,
        coordinator = InstanceId("c-$domain"),
        address = HostPort("127.0.0.1", 1),
        isDrained = domain in drained,
        pools = ledgers.getValue(domain).ledger.digest(nowMs),
    )

    private companion object {
        const val DIGEST_MS = 500L
    }
}
