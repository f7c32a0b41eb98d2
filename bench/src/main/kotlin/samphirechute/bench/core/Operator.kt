package samphirechute.bench.core

import samphirechute.bench.system.Http
import samphirechute.bench.system.RunClock
import samphirechute.bench.system.pause
import samphirechute.platform.ControlApi
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.Semaphore
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

/**
 * Sends configurations as the platform's operator does: at a control instance drawn by lot, and at another one while there is
 * no clear answer, up to [MAX_CALLS] at the same time. At times a second operator sends other content beside it.
 */
internal class Operator(
    private val system: CoreSystem,
    private val versions: Versions,
    private val clock: RunClock,
    private val plan: CorePlan,
    private val random: Random,
) : AutoCloseable {
    private val workers = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }
    private val calls = Semaphore(MAX_CALLS)
    private val lastNumber = AtomicLong(FIRST_NUMBER)
    private val routes = List(OPERATORS) { ArrayDeque<String>() }
    val refusals = ConcurrentLinkedQueue<String>()

    @Volatile private var isRunning = true

    @Volatile var onSent: () -> Unit = {}

    @Volatile var onAcknowledged: () -> Unit = {}

    /** Sends versions until [stop]. */
    fun start() {
        workers.execute {
            while (isRunning) {
                sendNext()
                pause(plan.versionEveryMs)
            }
        }
    }

    fun stop() {
        isRunning = false
    }

    override fun close() {
        stop()
        workers.shutdownNow()
    }

    /** Sends one version until it is acknowledged or [limitMs] have passed; returns the version. */
    fun sendOne(limitMs: Long): Version {
        val version = create(0, lastNumber.incrementAndGet())
        call(version, clock.nowMs() + limitMs) { true }
        return version
    }

    private fun sendNext() {
        val number = lastNumber.addAndGet(1 + random.nextLong(MAX_STEP))
        val isDouble = random.nextInt(PERCENT) < plan.secondOperatorPercent
        send(create(0, number))
        if (isDouble) send(create(1, if (random.nextBoolean()) number else lastNumber.incrementAndGet()))
    }

    private fun send(version: Version) {
        if (!calls.tryAcquire()) return
        workers.execute {
            try {
                call(version, Long.MAX_VALUE) { isRunning }
            } finally {
                calls.release()
            }
        }
    }

    private fun call(
        version: Version,
        untilMs: Long,
        isWanted: () -> Boolean,
    ) {
        versions.add(version)
        var isFirst = true
        while (isWanted() && clock.nowMs() < untilMs) {
            val address = system.operatorAddresses.random()
            if (isFirst) onSent()
            isFirst = false
            val answer =
                runCatching {
                    Http.call(
                        address,
                        "PUT",
                        ControlApi.CONFIG,
                        version.content,
                        limitMs = CALL_MS,
                    )
                }.getOrNull()
            if (answer?.status == OK) {
                version.acknowledgement = Acknowledgement(address, clock.nowMs())
                return onAcknowledged()
            }
            if (answer != null && answer.status in CLIENT_ERRORS) {
                refusals += "refused version=${version.number} by=$address answer=$answer"
                return
            }
            pause(RETRY_MS)
        }
    }

    @Synchronized
    private fun create(
        operator: Int,
        number: Long,
    ): Version {
        val own = routes[operator]
        val added = "r$number-$operator"
        val isRemoving = own.size >= MAX_ROUTES || (own.size > 1 && random.nextInt(PERCENT) < REMOVE_PERCENT)
        val removed = if (isRemoving) own.removeAt(random.nextInt(own.size)) else null
        own += added
        val names = own.toSet() + FIRST_ROUTE + List(plan.furtherRoutes) { "further$it" }
        return Version(number, names, added, removed, system.configuration(number, names))
    }

    companion object {
        const val FIRST_ROUTE = "first"
        const val CALL_MS = 1_000L
        private const val FIRST_NUMBER = 1L
        private const val OPERATORS = 2
        private const val MAX_CALLS = 8
        private const val MAX_STEP = 3L
        private const val MAX_ROUTES = 10
        private const val REMOVE_PERCENT = 40
        private const val PERCENT = 100
        private const val RETRY_MS = 20L
        private const val OK = 200
        private val CLIENT_ERRORS = 400..499
    }
}
