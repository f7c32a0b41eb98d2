package samphirechute.state.disk

import samphirechute.state.raft.DiskWrite
import samphirechute.state.raft.RaftInput
import java.io.IOException
import java.util.concurrent.LinkedBlockingQueue

/**
 * Runs the writes of one member on a separate thread. All waiting writes become durable with a single sync. [post] is
 * called on that thread with the result and must pass it to the thread that runs the member. After a failure nothing
 * more is written.
 */
class DiskThread(
    private val disk: StoreDisk,
    name: String = "store-disk",
    private val post: (RaftInput) -> Unit,
) : AutoCloseable {
    private val queue = LinkedBlockingQueue<Job>()
    private val thread = Thread(::run, name).apply { isDaemon = true }

    init {
        thread.start()
    }

    fun submit(write: DiskWrite) {
        queue.put(Job.Write(write))
    }

    /** Finishes the waiting writes, then closes the disk. */
    override fun close() {
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
            disk.write(writes)
            post(RaftInput.DiskDone(writes.last().sequence))
            true
        } catch (e: IOException) {
            post(RaftInput.DiskFailed(e.message ?: e.toString()))
            false
        } catch (e: RuntimeException) {
            post(RaftInput.DiskFailed(e.message ?: e.toString()))
            false
        }

    private sealed class Job {
        class Write(
            val write: DiskWrite,
        ) : Job()

        object Stop : Job()
    }
}
