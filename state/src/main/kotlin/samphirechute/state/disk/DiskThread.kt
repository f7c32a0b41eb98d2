package samphirechute.state.disk

import samphirechute.core.log.KeyValueLog
import samphirechute.state.raft.DiskWrite
import samphirechute.state.raft.RaftInput
import java.io.IOException
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

/**
 * Runs the writes of one member on a separate thread. All waiting writes become durable with a single sync. [post] is
 * called on that thread with the result and must pass it to the thread that runs the member. Writes that the disk refuses
 * are tried again in order until it takes them. After any other failure nothing more is written. A write that does not
 * follow the one before counts as a failure, since the result of a write also confirms all before it.
 */
class DiskThread(
    private val disk: StoreDisk,
    name: String = "store-disk",
    private val retryMs: Long = REFUSED_RETRY_MS,
    private val post: (RaftInput) -> Unit,
) : AutoCloseable {
    private val closing = CountDownLatch(1)
    private val queue = LinkedBlockingQueue<Job>()
    private val thread = Thread(::run, name).apply { isDaemon = true }
    private var lastSequence: Long? = null

    init {
        thread.start()
    }

    fun submit(write: DiskWrite) {
        queue.put(Job.Write(write))
    }

    /** Finishes the waiting writes, unless the disk refuses them, then closes the disk. */
    override fun close() {
        closing.countDown()
        queue.put(Job.Stop)
        thread.join()
        disk.close()
    }

    private fun run() {
        while (true) {
            val jobs = mutableListOf(queue.take())
            queue.drainTo(jobs)
            val writes = jobs.takeWhile { it is Job.Write }.map { (it as Job.Write).write }
            if (writes.isNotEmpty() && !write(writes)) return
            if (writes.size < jobs.size) return
        }
    }

    private fun write(writes: List<DiskWrite>): Boolean =
        try {
            writes.forEach(::checkFollows)
            var rest = writes
            while (rest.isNotEmpty()) {
                val count = writeNext(rest) ?: return false
                post(RaftInput.DiskDone(rest[count - 1].sequence))
                rest = rest.drop(count)
            }
            true
        } catch (e: IOException) {
            post(RaftInput.DiskFailed(e.message ?: e.toString()))
            false
        } catch (e: RuntimeException) {
            post(RaftInput.DiskFailed(e.message ?: e.toString()))
            false
        }

    private fun checkFollows(write: DiskWrite) {
        val last = lastSequence
        check(last == null || write.sequence == last + 1) { "write ${write.sequence} does not follow write $last" }
        lastSequence = write.sequence
    }

    /** Tries until the disk takes the first of [writes], and returns how many; null if this thread is closed before. */
    private fun writeNext(writes: List<DiskWrite>): Int? {
        val startedNs = System.nanoTime()
        var refusals = 0
        while (true) {
            try {
                return disk.writeNext(writes).also { if (refusals > 0) logAccepted(startedNs, refusals) }
            } catch (e: DiskError.WriteRefused) {
                if (refusals++ == 0) {
                    log.warn("disk_refused", mapOf("reason" to e.message, "waiting" to writes.size))
                    post(RaftInput.DiskRefused)
                }
                if (closing.await(retryMs, TimeUnit.MILLISECONDS)) {
                    log.warn("disk_writes_dropped", mapOf("reason" to e.message, "waiting" to writes.size))
                    return null
                }
            }
        }
    }

    private fun logAccepted(
        startedNs: Long,
        refusals: Int,
    ) = log.event(
        "disk_accepts",
        mapOf("after_ms" to TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNs), "attempts" to refusals),
    )

    private sealed class Job {
        class Write(
            val write: DiskWrite,
        ) : Job()

        object Stop : Job()
    }

    private companion object {
        /** Short against the time in which a change must be acknowledged, long against a write that is refused. */
        const val REFUSED_RETRY_MS = 200L
        val log = KeyValueLog("store")
    }
}
