package samphirechute.bench.process

import samphirechute.bench.Bench
import samphirechute.bench.Figures
import samphirechute.net.ClientFailure
import samphirechute.net.ClientRequest
import samphirechute.net.ResponseListener
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/**
 * What a request costs the instance that accepts it and the coordinator that grants it, when the two are different
 * instances: processor time and bytes, from the difference between a quiet and a busy window.
 */
class GrantsBench : Bench {
    override fun run(
        seed: Long,
        figures: Figures,
    ) = ProcessCluster(2).use { cluster ->
        cluster.awaitReady()
        val (entry, coordinator) = cluster.daemons
        FastEngine("remote", coordinator.domain, coordinator.address).start()
        check(cluster.publish(entry, 0, "bench-$seed") != null) { "the bench service was not published" }
        cluster.await("the engine is known") { cluster.call(request(entry, "warm-0")).component1()?.status == OK }
        busy(cluster, entry, "warm")
        val idle = window(cluster) { cluster.pause(IDLE_MS) }
        val busy = window(cluster) { busy(cluster, entry, "run") }
        for ((index, role) in listOf("entry", "coordinator").withIndex()) {
            val idleShare = busy.ms.toDouble() / idle.ms
            val processorMs = busy.processorMs[index] - idle.processorMs[index] * idleShare
            val bytes = busy.bytes[index] - idle.bytes[index] * idleShare
            figures.add("processor_us_per_request_$role", processorMs * US_PER_MS / REQUESTS)
            figures.add("bytes_per_request_$role", bytes / REQUESTS)
        }
    }

    private fun window(
        cluster: ProcessCluster,
        action: () -> Unit,
    ): Window {
        val startNs = System.nanoTime()
        val processorMs = cluster.daemons.map { it.processorMs() }
        val bytes = cluster.daemons.map { cluster.metric(it, BYTES) }
        action()
        return Window(
            TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs),
            cluster.daemons.mapIndexed { index, daemon -> daemon.processorMs() - processorMs[index] },
            cluster.daemons.mapIndexed { index, daemon -> cluster.metric(daemon, BYTES) - bytes[index] },
        )
    }

    private fun busy(
        cluster: ProcessCluster,
        entry: DaemonProcess,
        prefix: String,
    ) {
        val left = CountDownLatch(REQUESTS)
        val startNs = System.nanoTime()
        for (number in 0 until REQUESTS) {
            val dueNs = startNs + number * TimeUnit.SECONDS.toNanos(1) / REQUESTS_PER_SECOND
            while (System.nanoTime() < dueNs) Thread.onSpinWait()
            cluster.loop.post { cluster.client.send(request(entry, "$prefix-$number"), Done(left)) }
        }
        check(left.await(DEADLINE_SECONDS, TimeUnit.SECONDS)) { "${left.count} calls got no answer" }
    }

    private fun request(
        entry: DaemonProcess,
        id: String,
    ): ClientRequest {
        val body = """{"model":"bench","prompt":"Draft a reply.","max_tokens":1}"""
        val headers = mapOf("Idempotency-Key" to id)
        return ClientRequest(entry.address, "POST", "/v1/completions", body.encodeToByteArray(), headers = headers)
    }

    private class Done(
        private val left: CountDownLatch,
    ) : ResponseListener {
        override fun onEnd() = left.countDown()

        override fun onFailure(failure: ClientFailure) = left.countDown()
    }

    private class Window(
        val ms: Long,
        val processorMs: List<Long>,
        val bytes: List<Double>,
    )

    private companion object {
        const val OK = 200
        const val BYTES = "samphirechute_network_bytes_total"
        const val REQUESTS = 5_000
        const val REQUESTS_PER_SECOND = 250L
        const val IDLE_MS = 10_000L
        const val US_PER_MS = 1_000.0
        const val DEADLINE_SECONDS = 60L
    }
}
