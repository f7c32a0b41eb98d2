package samphirechute.testkit.engine

/** What an engine was carrying at one time. */
data class EngineLoad(
    val runningRequests: Int = 0,
    val queuedPrefillTokens: Long = 0,
    val usedMemoryTokens: Long = 0,
    val held: Map<String, Long> = emptyMap(),
)

/** Gives the load as it was some time ago, since the reports of engines lag behind. */
internal class LoadHistory(
    private val lagMs: Long,
) {
    private val entries = ArrayDeque<Pair<Long, EngineLoad>>()

    fun record(
        load: EngineLoad,
        nowMs: Long,
    ) {
        entries += nowMs to load
        while (entries.size > 1 && entries[1].first <= nowMs - lagMs) entries.removeFirst()
    }

    fun reported(nowMs: Long): EngineLoad = entries.lastOrNull { it.first <= nowMs - lagMs }?.second ?: EngineLoad()
}
