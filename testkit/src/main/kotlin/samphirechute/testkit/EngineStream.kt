package samphirechute.testkit

import kotlinx.serialization.json.Json
import samphirechute.core.RequestId
import samphirechute.core.engine.TokenLine
import samphirechute.core.time.TimerService
import samphirechute.net.ResponseStream
import samphirechute.testkit.engine.JobListener

/** Writes the answer to one request as lines, with the faults that are switched on. */
internal class EngineStream(
    private val requestId: RequestId,
    private val stream: ResponseStream,
    private val faults: FaultSwitch,
    private val timer: TimerService,
    private val lateMs: Long,
) : JobListener {
    private var lines = 0

    override fun onToken(
        offset: Long,
        text: String,
        cachedTokens: Long,
    ) = write(TokenLine(requestId.value, offset, text, cachedTokens = cachedTokens))

    override fun onEnd(totalTokens: Long) {
        write(TokenLine(requestId.value, done = true, totalTokens = totalTokens))
        send { stream.finish() }
    }

    override fun onStopped() = stream.abort()

    private fun write(line: TokenLine) {
        if (faults.isOn(UpstreamFault.CLOSE) && ++lines > LINES_BEFORE_CLOSE) return stream.abort()
        val text =
            when {
                faults.isOn(UpstreamFault.GARBAGE) -> "}not json"
                faults.isOn(UpstreamFault.CROSSED) -> json.encodeToString(TokenLine.serializer(), crossed(line))
                else -> json.encodeToString(TokenLine.serializer(), line)
            }
        send { stream.write("$text\n".encodeToByteArray()) }
    }

    private fun crossed(line: TokenLine): TokenLine {
        val other = RequestId("${line.requestId}-other")
        return line.copy(requestId = other.value, text = DeterministicAnswer.token(other, line.offset))
    }

    private fun send(action: () -> Unit) {
        when {
            faults.isOn(UpstreamFault.SILENT) -> return
            faults.isOn(UpstreamFault.LATE) -> timer.after(lateMs, action)
            else -> action()
        }
    }

    private companion object {
        const val LINES_BEFORE_CLOSE = 5
        val json = Json
    }
}
