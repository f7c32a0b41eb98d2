package samphirechute.bench.routing

import org.HdrHistogram.Histogram
import samphirechute.bench.Bench
import samphirechute.bench.Figures
import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.core.RequestId
import samphirechute.core.ServiceName
import samphirechute.core.UpstreamId
import samphirechute.routing.placing.EngineProfile
import samphirechute.routing.placing.Placement
import samphirechute.routing.placing.PlacementOutcome
import samphirechute.routing.placing.PlacementRequest
import samphirechute.routing.placing.PlacementResult
import samphirechute.routing.placing.PlacementTarget
import samphirechute.routing.placing.Placer
import samphirechute.routing.placing.PoolProfile
import kotlin.random.Random

/**
 * The processor time of placing one prompt, and of one look at all that wait, on a fleet that is kept busy with the mix of
 * the users' large deployment: 88 of 100 prompts short, 10 of 45,000 tokens, 2 of 300,000.
 */
class PlaceBench : Bench {
    override fun run(
        seed: Long,
        figures: Figures,
    ) {
        SIZES.forEach { measure(it, seed) }
        for (size in SIZES) {
            val (places, ticks) = measure(size, seed)
            figures.add("place.$size.mean_us", places.mean / NS_PER_US)
            figures.add("place.$size.p99_us", places.getValueAtPercentile(99.0) / NS_PER_US)
            figures.add("place.$size.tick_mean_us", ticks.mean / NS_PER_US)
            figures.add("place.$size.tick_p99_us", ticks.getValueAtPercentile(99.0) / NS_PER_US)
        }
    }

    private fun measure(
        size: Int,
        seed: Long,
    ): Pair<Histogram, Histogram> {
        val random = Random(seed)
        val placer = Placer()
        placer.setPools(listOf(PoolProfile(SERVICE, ENGINE)))
        placer.setUpstreams(List(size, ::engine))
        val running = ArrayDeque<Pair<RequestId, UpstreamId>>()
        val places = Histogram(3)
        val ticks = Histogram(3)
        var nowMs = 0.0
        repeat(REQUESTS) { number ->
            nowMs += MS_BETWEEN * FLEET / size
            val request = request(number, random)
            val startNs = System.nanoTime()
            val placement = placer.place(request, nowMs.toLong())
            places.recordValue(System.nanoTime() - startNs)
            if (placement is Placement.Granted) running += request.request to placement.upstream
            if (number % TICK_EVERY == 0) {
                val tickNs = System.nanoTime()
                val decisions = placer.tick(nowMs.toLong())
                ticks.recordValue(System.nanoTime() - tickNs)
                decisions.forEach { (decided, late) ->
                    if (late is Placement.Granted) running += decided.request to late.upstream
                }
            }
            while (running.size > size * RUNNING) {
                val (id, upstream) = running.removeFirst()
                placer.reportEnd(
                    PlacementResult(id, upstream, PlacementOutcome.DONE, firstByteMs = 100),
                    nowMs.toLong(),
                )
            }
        }
        return places to ticks
    }

    private fun engine(index: Int) =
        PlacementTarget(
            UpstreamId("engine-$index"),
            SERVICE,
            HostPort("127.0.0.1", index + 1),
            domain(index),
            SLOTS,
        )

    private fun request(
        number: Int,
        random: Random,
    ): PlacementRequest {
        val draw = random.nextInt(100)
        val (tokens, targetMs) =
            when {
                draw < 88 -> 5_000L to 300L
                draw < 98 -> 45_000L to 1_500L
                else -> 300_000L to 4_000L
            }
        return PlacementRequest(
            RequestId("r-$number"),
            InstanceId("i-${number % 95}"),
            domain(number),
            SERVICE,
            promptTokens = tokens,
            answerTokens = 1_000,
            targetMs = targetMs,
            targetGapMs = 250,
            deadlineMs = 10_000,
        )
    }

    private fun domain(number: Int) = FailureDomain("domain-${number % DOMAINS}")

    private companion object {
        val SERVICE = ServiceName("model")
        val SIZES = listOf(25, 172, 600)

        /** The engines of the users' large deployment, where a request comes each 5 ms. */
        const val FLEET = 172.0
        const val MS_BETWEEN = 5.0
        const val SLOTS = 7
        const val DOMAINS = 5
        const val RUNNING = 3
        const val REQUESTS = 8_000
        const val TICK_EVERY = 4
        const val NS_PER_US = 1_000.0
        val ENGINE = EngineProfile(SLOTS, 450_000, 46, 0.925, 0.007, 0.00254, 256.0, 0.0917, 2_048, 0.1)
    }
}
