package samphirechute.net

import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.util.concurrent.DefaultThreadFactory
import java.util.concurrent.TimeUnit

/**
 * The event loop of a process: a single thread on which all socket handlers, timers and decisions run, so that their
 * state needs no locks.
 */
class EventLoop(
    name: String = "loop",
) : AutoCloseable {
    internal val group: EventLoopGroup =
        MultiThreadIoEventLoopGroup(1, DefaultThreadFactory(name, true), NioIoHandler.newFactory())
    private val executor = group.next()

    val timer = LoopTimer(executor)

    /** Runs [action] on the loop; callable from any thread. */
    fun post(action: () -> Unit) = executor.execute(action)

    /** Returns true when called on the thread of the loop. */
    fun isCurrent() = executor.inEventLoop()

    override fun close() {
        group.shutdownGracefully(0, CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS).awaitUninterruptibly(CLOSE_TIMEOUT_MS)
    }

    private companion object {
        const val CLOSE_TIMEOUT_MS = 2_000L
    }
}
