package samphirechute.cli.command

import com.github.michaelbull.result.map
import samphirechute.cli.output.Table
import samphirechute.core.api.ApiPaths
import samphirechute.core.api.UpstreamsView

/** Lists the upstreams with load and limits. */
internal class UpstreamsCommand : ViewCommand() {
    override val summary = "list the upstreams with state, load and limits"
    override val examples = listOf("upstreams --server 127.0.0.1:7101", "upstreams --json")
    override val path = ApiPaths.UPSTREAMS

    override fun render(body: String) = decode<UpstreamsView>(body).map(::text)

    private fun text(view: UpstreamsView): String {
        val table =
            Table("UPSTREAM", "DOMAIN", "ADDRESS", "POOLS", "GENERATION", "STATE", "RUNNING", "PREFILL", "MEMORY")
        view.upstreams.sortedWith(compareBy({ it.failureDomain }, { it.id })).forEach {
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

    /** An application announces no memory; its limit is then the largest number. */
    private fun ofLimit(
        used: Long,
        limit: Long,
    ) = if (limit == Long.MAX_VALUE) "$used/-" else "$used/$limit"
}
