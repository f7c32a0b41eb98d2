package samphirechute.bench.sync

import samphirechute.state.sync.MemberHealth
import java.lang.management.ManagementFactory
import java.util.Locale

/**
 * Detection time, false positives under 20% loss, and the traffic and processor time of lease and sync, on virtual
 * time with the real JSON. Bytes include 250 for the HTTP heads of each message.
 */
object MembersBench {
    private class Size(
        val domains: Int,
        val instances: Int,
        val pools: Int,
        val lossMs: Long,
    )

    private val sizes =
        listOf(
            Size(1, 3, 2, 3_600_000),
            Size(3, 15, 2, 1_200_000),
            Size(3, 45, 2, 300_000),
            Size(7, 360, 25, 60_000),
        )

    fun run(
        seed: Long,
        out: (String) -> Unit,
    ) {
        for (size in sizes) {
            out("members nodes=${size.instances} domains=${size.domains} pools=${size.pools} seed=$seed")
            traffic(size, seed, out)
            detection(size, seed, out)
            falsePositives(size, seed, out)
        }
    }

    private fun traffic(
        size: Size,
        seed: Long,
        out: (String) -> Unit,
    ) {
        val fleet = SyncFleet(seed, size.domains, size.instances, size.pools)
        fleet.run(WARM_UP_MS)
        fleet.resetCounts()
        val cpu = ManagementFactory.getThreadMXBean()
        val beforeNs = cpu.currentThreadCpuTime
        fleet.run(TRAFFIC_MS)
        val usedNs = cpu.currentThreadCpuTime - beforeNs
        val (coordinators, members) = fleet.nodes.values.partition { it.isCoordinator }
        for ((name, nodes) in listOf("all" to fleet.nodes.values, "member" to members, "coordinator" to coordinators)) {
            for ((kind, traffic) in listOf<Pair<String, (SyncFleet.Node) -> Traffic>>(
                "sync" to { it.syncTraffic },
                "lease" to { it.leaseTraffic },
            )) {
                val perSecond = { value: (Traffic) -> Long -> nodes.map { value(traffic(it)) * 1_000 / TRAFFIC_MS } }
                out(
                    "  traffic role=$name kind=$kind sent_bytes_s=${perSecond { it.sentBytes }.average().toLong()}" +
                        " sent_bytes_s_max=${perSecond { it.sentBytes }.max()}" +
                        " received_bytes_s=${perSecond { it.receivedBytes }.average().toLong()}" +
                        " sent_messages_s=${perSecond { it.sentMessages }.average().toLong()}",
                )
            }
        }
        val percent = 100.0 * usedNs / 1e6 / TRAFFIC_MS / fleet.nodes.size
        out("  processor percent_of_a_core_per_node=${String.format(Locale.ROOT, "%.4f", percent)}")
    }

    private fun detection(
        size: Size,
        seed: Long,
        out: (String) -> Unit,
    ) {
        val times = mapOf(MemberHealth.SUSPECTED to mutableListOf<Long>(), MemberHealth.DEAD to mutableListOf())
        var expected = 0
        for (round in 1..ROUNDS) {
            val fleet = SyncFleet(seed + round, size.domains, size.instances, size.pools)
            fleet.run(WARM_UP_MS)
            val killed = fleet.nodes.values.last { it.isCoordinator == (round % 2 == 0) }
            expected += fleet.observersOf(killed)
            killed.isUp = false
            val atMs = fleet.timer.nowMs()
            fleet.run(DETECTION_MS)
            for (change in fleet.healthChanges) {
                if (change.member == killed.id && change.atMs > atMs) times[change.health]?.add(change.atMs - atMs)
            }
        }
        for ((health, ms) in times) {
            val sorted = ms.sorted()
            out(
                "  detection health=$health seen=${sorted.size} of=$expected" +
                    " p50_ms=${sorted.getOrNull(sorted.size / 2)} max_ms=${sorted.lastOrNull()}",
            )
        }
    }

    private fun falsePositives(
        size: Size,
        seed: Long,
        out: (String) -> Unit,
    ) {
        val fleet = SyncFleet(seed, size.domains, size.instances, size.pools)
        fleet.run(WARM_UP_MS)
        fleet.loss = LOSS
        val fromMs = fleet.timer.nowMs()
        fleet.run(size.lossMs)
        val pairs = fleet.nodes.values.sumOf { fleet.observersOf(it) }
        val hours = pairs * size.lossMs / 3_600_000.0
        for (health in listOf(MemberHealth.SUSPECTED, MemberHealth.DEAD)) {
            val count = fleet.healthChanges.count { it.atMs > fromMs && it.health == health }
            val rate = String.format(Locale.ROOT, "%.3f", count / hours)
            out("  loss=$LOSS false=$health count=$count pair_hours=${hours.toLong()} per_pair_hour=$rate")
        }
    }

    private const val WARM_UP_MS = 20_000L
    private const val TRAFFIC_MS = 30_000L
    private const val DETECTION_MS = 15_000L
    private const val ROUNDS = 4
    private const val LOSS = 0.2
}
