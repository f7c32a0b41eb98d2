package samphirechute.bench.process

import org.HdrHistogram.Histogram
import samphirechute.bench.Bench
import samphirechute.bench.Figures
import samphirechute.core.api.ApiJson
import samphirechute.core.api.ApiPaths
import samphirechute.core.api.PublishOutcome
import samphirechute.core.api.StatusView
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread
import kotlin.random.Random

/**
 * Publishes 1,000 times over 15 daemons while daemons are killed and started again. Measures the time from the publish
 * until all daemons that live have it in force, and counts revisions that went back on any of them.
 */
class PublishBench : Bench {
    override fun run(
        seed: Long,
        figures: Figures,
    ) = ProcessCluster(DAEMONS).use { cluster ->
        cluster.awaitReady()
        val calm = Histogram(DIGITS)
        val firstFaulty = publishes(cluster, 1L..CALM, calm)
        val faulty = Histogram(DIGITS)
        val isDone = AtomicBoolean(false)
        val watch = Watch(cluster)
        val watcher = thread { while (!isDone.get()) watch.look() }
        val killer = thread { killing(cluster, Random(seed), isDone) }
        publishes(cluster, firstFaulty..CALM + FAULTY, faulty)
        isDone.set(true)
        killer.join()
        watcher.join()
        print(figures, "calm", calm)
        print(figures, "with_kills", faulty)
        figures.add("kills", kills.toLong())
        figures.add("reverts", watch.reverts.toLong())
        figures.add("observations", watch.observations)
    }

    @Volatile
    private var kills = 0

    private fun print(
        figures: Figures,
        name: String,
        histogram: Histogram,
    ) {
        figures.add("in_force_p50_ms_$name", histogram.getValueAtPercentile(50.0))
        figures.add("in_force_p99_ms_$name", histogram.getValueAtPercentile(99.0))
        figures.add("in_force_max_ms_$name", histogram.maxValue)
        figures.add("publishes_$name", histogram.totalCount)
    }

    /** Publishes revision after revision; returns the first that is left. */
    private fun publishes(
        cluster: ProcessCluster,
        revisions: LongRange,
        histogram: Histogram,
    ): Long {
        for (revision in revisions) {
            val startNs = System.nanoTime()
            publishOne(cluster, revision)
            cluster.await("revision $revision is in force") {
                cluster.daemons.all { !it.isAlive || isRestarting(cluster, it) || revisionOf(cluster, it) >= revision }
            }
            histogram.recordValue((System.nanoTime() - startNs) / NS_PER_MS)
        }
        return revisions.last + 1
    }

    /** A publish without an answer is sent again under the same operation, through another daemon. */
    private fun publishOne(
        cluster: ProcessCluster,
        revision: Long,
    ) {
        var tries = 0
        cluster.await("revision $revision is published") {
            val daemon = cluster.daemons[tries++ % cluster.daemons.size]
            val reply = if (daemon.isAlive) cluster.publish(daemon, revision - 1, "op-$revision") else null
            check(reply == null || reply.outcome == PublishOutcome.ACCEPTED) { "publish $revision: $reply" }
            reply != null
        }
    }

    /** A daemon that has just started is not ready, so it serves nothing under an older configuration. */
    private fun isRestarting(
        cluster: ProcessCluster,
        daemon: DaemonProcess,
    ) = cluster.get(daemon, ApiPaths.READINESS)?.status != OK

    private fun killing(
        cluster: ProcessCluster,
        random: Random,
        isDone: AtomicBoolean,
    ) {
        while (!isDone.get()) {
            val daemon = cluster.daemons.random(random)
            daemon.kill()
            kills++
            cluster.pause(random.nextLong(MAX_DOWN_MS))
            daemon.restart()
            cluster.pause(random.nextLong(MAX_UP_MS))
        }
    }

    /** Looks at the revision in force on every daemon; one that goes back while the daemon is ready is a revert. */
    private class Watch(
        private val cluster: ProcessCluster,
    ) {
        private val highest = HashMap<String, Long>()
        var reverts = 0
        var observations = 0L

        fun look() {
            for (daemon in cluster.daemons) {
                val status = statusOf(cluster, daemon) ?: continue
                if (status.readiness.name != "READY") continue
                observations++
                val before = highest[daemon.name] ?: 0
                if (status.revision < before) reverts++
                highest[daemon.name] = maxOf(before, status.revision)
            }
            cluster.pause(LOOK_MS)
        }
    }

    private companion object {
        const val OK = 200
        const val DAEMONS = 15
        const val CALM = 300L
        const val FAULTY = 700L
        const val DIGITS = 3
        const val NS_PER_MS = 1_000_000L
        const val MAX_DOWN_MS = 1_500L
        const val MAX_UP_MS = 4_000L
        const val LOOK_MS = 5L

        fun statusOf(
            cluster: ProcessCluster,
            daemon: DaemonProcess,
        ): StatusView? {
            val answer = cluster.get(daemon, ApiPaths.STATUS)?.takeIf { it.status == OK } ?: return null
            return ApiJson.decodeFromString(StatusView.serializer(), answer.body.decodeToString())
        }

        fun revisionOf(
            cluster: ProcessCluster,
            daemon: DaemonProcess,
        ) = statusOf(cluster, daemon)?.revision ?: -1
    }
}
