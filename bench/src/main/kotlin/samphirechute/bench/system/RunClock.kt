package samphirechute.bench.system

import java.util.concurrent.TimeUnit

/** The time since the run began. */
internal class RunClock {
    @Volatile private var startNs = System.nanoTime()

    fun nowMs() = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs)

    fun restart() {
        startNs = System.nanoTime()
    }
}
