package samphirechute.routing

import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Nested
import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.routing.ledger.LedgerFixture.Companion.request
import samphirechute.routing.ledger.POOL
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse

class DomainChooserSpec {
    private val own = FailureDomain("a")

    private fun digest(
        name: String,
        sequence: Long = 1,
        firstTokenMs: Long = 100,
        freeTokens: Long = 100_000,
        upstreams: Int = 1,
    ) = DomainDigest(
        failureDomain = FailureDomain(name),
        epoch = 1,
        sequence = sequence,
        coordinator = InstanceId("i-$name"),
        address = HostPort("127.0.0.1", 1),
        pools = mapOf(POOL to PoolDigest(freeTokens, firstTokenMs, upstreams)),
    )

    @Nested
    inner class Choosing {
        /** Guards against sending requests away from a healthy domain, or to a domain that cannot serve them. */
        @Test
        fun `asks the own domain first unless it is much slower, and then one other by headroom`() {
            val (a, b, c) = listOf("a", "b", "c").map(::FailureDomain)
            val rows =
                listOf(
                    Triple(listOf(digest("a", firstTokenMs = 1_100), digest("b")), emptyList<FailureDomain>(), a),
                    Triple(listOf(digest("a", firstTokenMs = 1_101), digest("b")), emptyList(), b),
                    Triple(listOf(digest("a", firstTokenMs = 1_101), digest("b", freeTokens = 10)), emptyList(), a),
                    Triple(listOf(digest("a", firstTokenMs = 1_101), digest("b")), listOf(b), a),
                    Triple(listOf(digest("a").copy(isDrained = true), digest("b")), emptyList(), b),
                    Triple(listOf(digest("a").copy(coordinator = null), digest("b")), emptyList(), b),
                    Triple(listOf(digest("a", upstreams = 0), digest("b")), emptyList(), b),
                    Triple(listOf(digest("a"), digest("b", firstTokenMs = 200), digest("c")), listOf(a), c),
                    Triple(listOf(digest("b"), digest("c", freeTokens = 10)), listOf(a), b),
                    Triple(listOf(digest("a"), digest("b"), digest("c")), listOf(a, b), null),
                    Triple(listOf(digest("b"), digest("c")), listOf(b), null),
                    Triple(emptyList(), emptyList(), null),
                )
            for ((index, row) in rows.withIndex()) {
                val chooser = DomainChooser(own)
                row.first.forEach { chooser.update(it, 0) }
                assertEquals(row.third, chooser.next(request("r"), row.second, 3_000)?.failureDomain, "row $index")
                assertEquals(null, chooser.next(request("r"), row.second, 3_001)?.failureDomain, "stale, row $index")
            }
        }

        /** Guards against an old digest that arrives late, through another instance, and hides a drain. */
        @Test
        fun `keeps the newest digest of a domain`() {
            val chooser = DomainChooser(own)
            chooser.update(digest("a", sequence = 2).copy(isDrained = true), 0)
            assertFalse(chooser.update(digest("a", sequence = 1), 10))
            assertEquals(null, chooser.next(request("r"), emptyList(), 10))
            chooser.update(digest("a").copy(epoch = 2), 10)
            assertEquals(own, chooser.next(request("r"), emptyList(), 10)?.failureDomain)
        }
    }

    @Nested
    inner class Messages {
        /** Guards against a digest that another instance cannot read. */
        @Test
        fun `reads back a digest that it wrote`() {
            val text = Json.encodeToString(DomainDigest.serializer(), digest("a"))
            assertEquals(digest("a"), Json.decodeFromString(DomainDigest.serializer(), text))
        }
    }
}
