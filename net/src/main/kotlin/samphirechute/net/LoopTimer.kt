package samphirechute.net

import io.netty.util.concurrent.EventExecutor
import samphirechute.core.log.KeyValueLog
import samphirechute.core.time.Subscription
import samphirechute.core.time.TimerService
import java.util.concurrent.TimeUnit

/** The timer service of a process; actions run on its loop. An action that throws is logged and does not stop others. */
class LoopTimer internal constructor(
    private val executor: EventExecutor,
) : TimerService {
    override fun nowMs() = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())

    override fun after(
        delayMs: Long,
        action: () -> Unit,
    ): Subscription {
        val future = executor.schedule({ guarded(action) }, delayMs, TimeUnit.MILLISECONDS)
        return Subscription { future.cancel(false) }
    }

    override fun every(
        periodMs: Long,
        action: () -> Unit,
    ): Subscription {
        val future = executor.scheduleWithFixedDelay({ guarded(action) }, periodMs, periodMs, TimeUnit.MILLISECONDS)
        return Subscription { future.cancel(false) }
    }

    @Suppress("TooGenericExceptionCaught")
    private fun guarded(action: () -> Unit) {
        try {
            action()
        } catch (error: Exception) {
            log.warn("timer_action_failed", mapOf("error" to error), error)
        }
    }

    private companion object {
        val log = KeyValueLog("timer")
    }
}
