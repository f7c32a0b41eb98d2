package samphirechute.bench.sync

/** Messages and bytes of one instance, with an allowance for the HTTP heads of each message. */
internal class Traffic {
    var sentMessages = 0L
        private set
    var sentBytes = 0L
        private set
    var receivedBytes = 0L
        private set

    fun countSent(text: String) {
        sentMessages++
        sentBytes += text.length + HEAD_BYTES
    }

    fun countReceived(text: String) {
        receivedBytes += text.length + HEAD_BYTES
    }

    fun reset() {
        sentMessages = 0
        sentBytes = 0
        receivedBytes = 0
    }

    private companion object {
        const val HEAD_BYTES = 250
    }
}
