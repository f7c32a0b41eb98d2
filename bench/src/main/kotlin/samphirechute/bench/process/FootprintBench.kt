package samphirechute.bench.process

import samphirechute.bench.Bench
import samphirechute.bench.Figures

/** What idle daemons cost each other: memory, processor time and bytes of one daemon in clusters of 3, 15 and 45. */
class FootprintBench : Bench {
    override fun run(
        seed: Long,
        figures: Figures,
    ) = SIZES.forEach { size -> ProcessCluster(size).use { measure(it, size, figures) } }

    private fun measure(
        cluster: ProcessCluster,
        size: Int,
        figures: Figures,
    ) {
        cluster.awaitReady()
        cluster.pause(SETTLE_MS)
        val before = cluster.daemons.map { sample(cluster, it) }
        cluster.pause(WINDOW_MS)
        val after = cluster.daemons.map { sample(cluster, it) }
        val seconds = WINDOW_MS / MS_PER_SECOND
        val processor = after.zip(before).map { (end, start) -> (end.processorMs - start.processorMs) / (10 * seconds) }
        val bytes = after.zip(before).map { (end, start) -> (end.bytes - start.bytes) / seconds }
        val stores =
            cluster.daemons.indices
                .filter { it < DOMAINS }
                .toSet()
        figures.add("resident_mb_mean_$size", after.map { it.residentMb }.average())
        figures.add("resident_mb_max_$size", after.maxOf { it.residentMb })
        figures.add("processor_percent_store_$size", processor.filterIndexed { index, _ -> index in stores }.average())
        figures.add("bytes_per_second_store_$size", bytes.filterIndexed { index, _ -> index in stores }.average())
        val entries = processor.indices.filter { it !in stores }
        if (entries.isEmpty()) return
        figures.add("processor_percent_entry_$size", entries.map { processor[it] }.average())
        figures.add("bytes_per_second_entry_$size", entries.map { bytes[it] }.average())
        figures.add("bytes_per_second_entry_max_$size", entries.maxOf { bytes[it] })
    }

    private fun sample(
        cluster: ProcessCluster,
        daemon: DaemonProcess,
    ) = Sample(
        daemon.residentBytes() / MIB,
        daemon.processorMs(),
        cluster.metric(daemon, "samphirechute_network_bytes_total"),
    )

    private class Sample(
        val residentMb: Double,
        val processorMs: Long,
        val bytes: Double,
    )

    private companion object {
        val SIZES = listOf(3, 15, 45)
        const val DOMAINS = 3
        const val SETTLE_MS = 15_000L
        const val WINDOW_MS = 30_000L
        const val MS_PER_SECOND = 1_000.0
        const val MIB = 1024.0 * 1024.0
    }
}
