package samphirechute.daemon.upstream

import samphirechute.routing.flow.AttemptFailure

/** An attempt over several engines: it borrows memory first, and gives it back when the attempt ends. */
internal class GangAttempt(
    private val memory: GangMemory,
    private val requestId: String,
    private val listener: AttemptListener,
    private val startPrimary: (AttemptListener) -> UpstreamAttempt,
) : UpstreamAttempt {
    private var primary: UpstreamAttempt? = null
    private var isOver = false
    private var isReading = true

    fun start() =
        memory.borrow { isBorrowed ->
            when {
                isOver -> memory.giveBack()

                // Nothing was sent to the engine that answers, so nothing ran.
                !isBorrowed -> listener.onFailure(AttemptFailure.REFUSED, requestId)

                else -> primary = startPrimary(Returning()).also { it.setReading(isReading) }
            }
        }

    override fun cancel() {
        primary?.cancel()
        end()
    }

    override fun setReading(isReading: Boolean) {
        this.isReading = isReading
        primary?.setReading(isReading)
    }

    private fun end() {
        if (isOver) return
        isOver = true
        memory.giveBack()
    }

    private inner class Returning : AttemptListener by listener {
        override fun onEnd(
            requestId: String,
            totalTokens: Long,
            cachedTokens: Long,
        ) {
            end()
            listener.onEnd(requestId, totalTokens, cachedTokens)
        }

        override fun onFailure(
            failure: AttemptFailure,
            requestId: String?,
        ) {
            end()
            listener.onFailure(failure, requestId)
        }
    }
}
