package samphirechute.bench.process

import io.netty.buffer.ByteBuf
import kotlinx.serialization.json.Json
import org.HdrHistogram.Histogram
import samphirechute.bench.Bench
import samphirechute.bench.Figures
import samphirechute.core.HostPort
import samphirechute.core.RequestId
import samphirechute.core.engine.GenerateBody
import samphirechute.net.ClientFailure
import samphirechute.net.ClientRequest
import samphirechute.net.ResponseListener
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** What one instance adds between a caller and an engine: latency, tokens a second, memory, and streams lost. */
class PathBench : Bench {
    override fun run(
        seed: Long,
        figures: Figures,
    ) = ProcessCluster(1).use { cluster ->
        cluster.awaitReady()
        val daemon = cluster.daemons.single()
        val fast = FastEngine("fast", daemon.domain, daemon.address).also { it.start() }
        check(cluster.publish(daemon, 0, "bench-$seed") != null) { "the bench service was not published" }
        cluster.await("the engine is known") { post(cluster, daemon.address, "warm", 1)?.status == OK }
        figures.add("resident_idle_mb", daemon.residentBytes() / MIB)
        latency(cluster, daemon, fast, Random(seed), figures)
        throughput(cluster, daemon, figures)
        streams(cluster, daemon, figures)
    }

    private fun post(
        cluster: ProcessCluster,
        address: HostPort,
        id: String,
        tokens: Int,
    ) = cluster.call(completion(address, id, tokens, isStream = false)).component1()

    /** Direct and proxied calls alternate at random, so that both meet the same state of the machine. */
    private fun latency(
        cluster: ProcessCluster,
        daemon: DaemonProcess,
        engine: FastEngine,
        random: Random,
        figures: Figures,
    ) {
        rate(cluster, daemon, engine, random, WARM_REQUESTS)
        val (direct, proxied) = rate(cluster, daemon, engine, random, REQUESTS)
        for (percentile in listOf(50.0, 99.0)) {
            val name = "p${percentile.toInt()}"
            val base = direct.getValueAtPercentile(percentile) / US_PER_MS
            val value = proxied.getValueAtPercentile(percentile) / US_PER_MS
            figures.add("latency_${name}_ms", value, base)
            figures.add("added_${name}_ms", value - base)
        }
    }

    private fun rate(
        cluster: ProcessCluster,
        daemon: DaemonProcess,
        engine: FastEngine,
        random: Random,
        requests: Int,
    ): Pair<Histogram, Histogram> {
        val direct = Histogram(DIGITS)
        val proxied = Histogram(DIGITS)
        val left = CountDownLatch(requests)
        val startNs = System.nanoTime()
        for (number in 0 until requests) {
            val isDirect = random.nextBoolean()
            val dueNs = startNs + number * TimeUnit.SECONDS.toNanos(1) / REQUESTS_PER_SECOND
            while (System.nanoTime() < dueNs) Thread.onSpinWait()
            val id = "l-$requests-$number"
            val request =
                if (isDirect) {
                    generate(
                        engine.address,
                        id,
                    )
                } else {
                    completion(daemon.address, id, 1, isStream = true)
                }
            cluster.loop.post {
                cluster.client.send(
                    request,
                    Timed(if (isDirect) direct else proxied, System.nanoTime(), left::countDown),
                )
            }
        }
        check(left.await(DEADLINE_SECONDS, TimeUnit.SECONDS)) { "${left.count} calls got no answer" }
        return direct to proxied
    }

    private fun throughput(
        cluster: ProcessCluster,
        daemon: DaemonProcess,
        figures: Figures,
    ) {
        repeat(2) { run -> manyStreams(cluster, daemon, "t$run", THROUGHPUT_STREAMS, THROUGHPUT_TOKENS) }
        val startNs = System.nanoTime()
        val busyMs = daemon.processorMs()
        val lost = manyStreams(cluster, daemon, "t", THROUGHPUT_STREAMS, THROUGHPUT_TOKENS)
        val seconds = (System.nanoTime() - startNs) / 1e9
        val tokens = THROUGHPUT_STREAMS.toDouble() * THROUGHPUT_TOKENS
        figures.add("tokens_per_second", tokens / seconds)
        figures.add("processor_us_per_token", (daemon.processorMs() - busyMs) * 1_000 / tokens)
        figures.add("throughput_streams_lost", lost.toLong())
        figures.add("resident_loaded_mb", daemon.residentBytes() / MIB)
    }

    private fun streams(
        cluster: ProcessCluster,
        daemon: DaemonProcess,
        figures: Figures,
    ) {
        val lost = manyStreams(cluster, daemon, "s", STREAMS, STREAM_TOKENS)
        figures.add("concurrent_streams", STREAMS.toLong())
        figures.add("concurrent_streams_lost", lost.toLong())
        figures.add("resident_streams_mb", daemon.residentBytes() / MIB)
    }

    /** Runs [count] streams at once; returns how many did not carry all their tokens to the end mark. */
    private fun manyStreams(
        cluster: ProcessCluster,
        daemon: DaemonProcess,
        prefix: String,
        count: Int,
        tokens: Int,
    ): Int {
        val results = (0 until count).map { CompletableFuture<Boolean>() }
        cluster.loop.post {
            results.forEachIndexed { number, result ->
                val request = completion(daemon.address, "$prefix-$number", tokens, isStream = true)
                cluster.client.send(request, Counting(tokens, result))
            }
        }
        return results.count { !it.get(DEADLINE_SECONDS, TimeUnit.SECONDS) }
    }

    private fun completion(
        address: HostPort,
        id: String,
        tokens: Int,
        isStream: Boolean,
    ): ClientRequest {
        val body = """{"model":"bench","prompt":"$PROMPT","max_tokens":$tokens,"stream":$isStream}"""
        val headers = mapOf("Idempotency-Key" to id)
        return ClientRequest(address, "POST", "/v1/completions", body.encodeToByteArray(), headers = headers)
    }

    private fun generate(
        address: HostPort,
        id: String,
    ): ClientRequest {
        val body = GenerateBody(RequestId(id), 1, "bench", PROMPT, 10, 1, deadlineMs = 1_000)
        val json = Json.encodeToString(GenerateBody.serializer(), body)
        return ClientRequest(address, "POST", "/v1/generate", json.encodeToByteArray())
    }

    private class Timed(
        private val histogram: Histogram,
        private val startNs: Long,
        private val onDone: () -> Unit,
    ) : ResponseListener {
        override fun onEnd() {
            histogram.recordValue((System.nanoTime() - startNs) / NS_PER_US)
            onDone()
        }

        override fun onFailure(failure: ClientFailure) = onDone()
    }

    /** Counts the tokens by their text, and takes the end mark as proof that the stream is whole. */
    private class Counting(
        private val expected: Int,
        private val result: CompletableFuture<Boolean>,
    ) : ResponseListener {
        private var tokens = 0
        private var isMarked = false
        private var rest = ""

        override fun onBody(piece: ByteBuf) {
            val text = rest + piece.toString(Charsets.UTF_8)
            var from = 0
            while (true) {
                val at = text.indexOf(TOKEN, from)
                if (at < 0) break
                tokens++
                from = at + TOKEN.length
            }
            isMarked = isMarked || END_MARK in text
            rest = text.substring(maxOf(from, text.length - END_MARK.length))
        }

        override fun onEnd() {
            result.complete(isMarked && tokens == expected)
        }

        override fun onFailure(failure: ClientFailure) {
            result.complete(false)
        }
    }

    private companion object {
        const val OK = 200
        const val MIB = 1024.0 * 1024.0
        const val US_PER_MS = 1_000.0
        const val NS_PER_US = 1_000L
        const val DIGITS = 3
        const val WARM_REQUESTS = 10_000
        const val REQUESTS = 10_000
        const val REQUESTS_PER_SECOND = 500L
        const val THROUGHPUT_STREAMS = 50
        const val THROUGHPUT_TOKENS = 20_000
        const val STREAMS = 1_000
        const val STREAM_TOKENS = 200
        const val DEADLINE_SECONDS = 120L
        const val PROMPT = "Draft a reply to a customer."
        const val TOKEN = "token "
        const val END_MARK = "[DONE]"
    }
}
