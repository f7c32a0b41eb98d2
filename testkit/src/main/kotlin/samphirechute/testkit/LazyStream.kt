package samphirechute.testkit

import samphirechute.net.ResponseStream

/** Starts an answer when it is first used, so that a request can still be refused until then. */
internal class LazyStream(
    private val start: () -> ResponseStream,
) : ResponseStream {
    private val stream by lazy(LazyThreadSafetyMode.NONE) { start() }

    override val isWritable: Boolean get() = stream.isWritable
    override var onWritable: () -> Unit
        get() = stream.onWritable
        set(value) {
            stream.onWritable = value
        }

    fun open() {
        stream
    }

    override fun write(bytes: ByteArray) = stream.write(bytes)

    override fun finish() = stream.finish()

    override fun abort() = stream.abort()
}
