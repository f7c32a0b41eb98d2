package samphirechute.net

/**
 * What a call found on its connection: the [number] of the connection within the process, how many calls it carried
 * before, and what was skipped on it since it was opened.
 */
data class ConnectionUse(
    val number: Long,
    val callsBefore: Int,
    val skippedAnswers: Int,
    val skippedBytes: Long,
)
