package samphirechute.cli.command

import samphirechute.cli.output.Table
import samphirechute.core.api.ApiJson
import samphirechute.core.api.ApiPaths
import samphirechute.core.api.UpstreamsView

/** Lists the upstreams of all failure domains with load and limits. */
internal class UpstreamsCommand : CoordinatorViewCommand<UpstreamsView>() {
    override val summary = "list the upstreams with state, load and limits"
    override val examples = listOf("upstreams --server 127.0.0.1:7101", "upstreams --json")
    override val path = ApiPaths.UPSTREAMS

    override fun read(body: String) = decode<UpstreamsView>(body)

    override fun merge(views: List<UpstreamsView>) =
        UpstreamsView(views.flatMap { it.upstreams }.sortedWith(compareBy({ it.failureDomain }, { it.id })))

    override fun json(view: UpstreamsView) = ApiJson.encodeToString(view)

    override fun text(view: UpstreamsView): String {
        val table =
            Table("UPSTREAM", "DOMAIN", "ADDRESS", "POOLS", "GENERATION", "STATE", "RUNNING", "PREFILL", "MEMORY")
        view.upstreams.forEach {
            table.row(
                it.id,
                it.failureDomain,
                it.address,
                it.pools.joinToString(","),
                it.generation,
                it.state.name.lowercase(),
                ofLimit(it.load.runningRequests.toLong(), it.limits.concurrency.toLong()),
                ofLimit(it.load.queuedPrefillTokens, it.limits.prefillTokens),
                ofLimit(it.load.usedMemoryTokens, it.limits.memoryTokens),
            )
        }
        return table.toString()
    }

    /** An application announces no memory; its limit is then the largest number. A limit of 0 was not given. */
    private fun ofLimit(
        used: Long,
        limit: Long,
    ) = if (limit == Long.MAX_VALUE || limit == 0L) "$used/-" else "$used/$limit"
}
