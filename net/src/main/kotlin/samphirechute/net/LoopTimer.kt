package samphirechute.net

import io.netty.util.concurrent.EventExecutor
import samphirechute.core.log.KeyValueLog
import samphirechute.core.time.Subscription
import samphirechute.core.time.TimerService
import java.util.concurrent.TimeUnit

/**
 * The [TimerService] of an [EventLoop]; actions run on the loop. If an action throws, the error is logged and a
 * periodic action still runs the next time.
 */
class LoopTimer internal constructor(
    private val executor: EventExecutor,
) : TimerService {
    override fun nowMs() = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())

    override fun after(
        delayMs: Long,
        action: () -> Unit,
    ): Subscription {
        val future = executor.schedule({ runLogged(action) }, delayMs, TimeUnit.MILLISECONDS)
        return Subscription { future.cancel(false) }
    }

    override fun every(
        periodMs: Long,
        action: () -> Unit,
    ): Subscription {
        val future = executor.scheduleWithFixedDelay({ runLogged(action) }, periodMs, periodMs, TimeUnit.MILLISECONDS)
        return Subscription { future.cancel(false) }
    }

    @Suppress("TooGenericExceptionCaught")
    private fun runLogged(action: () -> Unit) {
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
