package samphirechute.state.sync

import samphirechute.core.FailureDomain
import samphirechute.core.InstanceId
import samphirechute.state.drain.DrainInput
import samphirechute.state.drain.DrainOutput
import samphirechute.state.drain.DrainTracker

/** The data that an instance synchronises. It selects what others lack of it, and applies what they send. */
internal class SyncState(
    private val settings: SyncSettings,
    private val drains: DrainTracker,
) {
    val configuration = ConfigurationHistory()
    val members = MemberTable(settings.self)
    val digests = DigestTable()
    var isLeaving = false
    var isStoreReadable = false
    private val failureDomains = settings.peers.mapTo(sortedSetOf()) { it.failureDomain }
    private var heartbeat = 0L

    /** When an answer last contained heartbeats. */
    private var lastHeartbeatsMs = Long.MIN_VALUE / 2

    fun sender() =
        SyncSender(
            instance = settings.self,
            incarnation = settings.incarnation,
            heartbeat = heartbeat,
            revision = configuration.revision,
            drainVersion = drains.record.version,
            overlayHash = drains.entriesHash,
            memberHash = members.hash,
            isLeaving = isLeaving,
            isStoreReadable = isStoreReadable,
        )

    /** Advances the own heartbeat and updates the own row of the member table. */
    fun advanceHeartbeat(): Member? {
        heartbeat++
        return refreshOwnRow()
    }

    fun refreshOwnRow(): Member? =
        members.merge(
            settings.self,
            MemberRow(settings.incarnation, heartbeat, configuration.revision, isLeaving),
        )

    /** What [peer] lacks according to its latest message, with the digests that it requested. */
    fun updatesFor(
        peer: PeerState,
        nowMs: Long,
        requestedDigests: Collection<FailureDomain> = emptyList(),
    ): SyncData {
        val known = peer.latestSender ?: return SyncData()
        val isOwnDomain = peer.peer.failureDomain == settings.failureDomain
        val isSameTable = known.memberHash == members.hash
        return SyncData(
            configuration = configuration.updateFrom(known.revision),
            drains = drains.record.takeIf { it.version > known.drainVersion },
            overlay = if (known.overlayHash == drains.entriesHash) emptyList() else drains.entries.toList(),
            members = if (isOwnDomain && !isSameTable) members.rows else emptyMap(),
            digests = digests.all(nowMs).filter { it.failureDomain in requestedDigests },
        )
    }

    /** The digest of the own failure domain, unless its current version was already sent to [peer]. */
    fun ownDigestFor(
        peer: PeerState,
        nowMs: Long,
    ): List<DomainDigest> {
        val own = digests.all(nowMs).filter { it.failureDomain == settings.failureDomain }
        return own.filter { it.version != peer.lastSentDigest }.onEach { peer.lastSentDigest = it.version }
    }

    /**
     * The failure domains whose digest to request from [peer]: those whose digest here is old. A coordinator also asks
     * each coordinator of another domain for the digest of that domain, of which it always has the newest one.
     */
    fun requestedDigests(
        peer: PeerState,
        coordinator: InstanceId?,
        nowMs: Long,
    ): List<FailureDomain> {
        val ageMs = if (peer.instance == coordinator) digests.refreshMs else DIGEST_RELAY_MS
        return failureDomains.filter {
            val isSource = coordinator == settings.self && digests.get(it)?.coordinator == peer.instance
            (it != settings.failureDomain && isSource) || digests.isOlderThan(it, ageMs, nowMs)
        }
    }

    /**
     * Applies the data of a message. Returns the outputs, and whether there was a change to pass on. Members are only
     * accepted from the own failure domain.
     */
    fun applyMessage(
        message: SyncMessage,
        isOwnDomain: Boolean,
        nowMs: Long,
    ): AppliedMessage {
        val outputs = mutableListOf<SyncOutput>()
        val data = message.data
        val isConfigured = data.configuration?.let(configuration::apply) == true
        if (isConfigured) outputs += SyncOutput.ConfigurationApplied(configuration.current)
        val drainOutputs = mutableListOf<DrainOutput>()
        data.drains?.let { drainOutputs += drains.handle(DrainInput.RecordLearned(it), nowMs) }
        if (data.overlay.isNotEmpty()) drainOutputs += drains.handle(DrainInput.EntriesLearned(data.overlay), nowMs)
        if (isOwnDomain) outputs += mergeMembers(message, nowMs).map { SyncOutput.MemberChanged(it) }
        if (data.digests.count { digests.put(it, nowMs) } > 0) outputs += SyncOutput.DigestsChanged(digests.all(nowMs))
        outputs += drainOutputs.mapNotNull { it.toSyncOutput() }
        return AppliedMessage(outputs, isConfigured || DrainOutput.Propagate in drainOutputs)
    }

    private fun mergeMembers(
        message: SyncMessage,
        nowMs: Long,
    ): List<Member> {
        val sender = message.sender
        val isSameTable = sender.memberHash == members.hash
        val row = MemberRow(sender.incarnation, sender.heartbeat, sender.revision, sender.isLeaving)
        val changed = mutableListOf(members.merge(sender.instance, row))
        message.data.members.mapTo(changed) { (id, it) -> if (id == settings.self) null else members.merge(id, it) }
        if (isSameTable) {
            if (message is SyncMessage.Reply && message.data.heartbeats.isNotEmpty()) lastHeartbeatsMs = nowMs
            message.data.heartbeats.mapTo(changed) { (id, it) ->
                if (id == settings.self) null else members.mergeHeartbeat(id, it)
            }
        }
        return changed.filterNotNull()
    }

    /** The rows with the heartbeats of [message], which are only valid between tables with equal hashes. */
    fun heartbeatRows(message: SyncMessage): Map<InstanceId, MemberRow> {
        if (message.sender.memberHash != members.hash) return emptyMap()
        val rows = members.rows
        return message.data.heartbeats
            .filterKeys { it in rows }
            .mapValues { (id, it) -> rows.getValue(id).copy(heartbeat = it) }
    }

    /** Whether to request heartbeats from [peer]: less often for a large table, to stay within the traffic limit. */
    fun requestsHeartbeats(
        peer: PeerState,
        nowMs: Long,
    ): Boolean =
        peer.peer.failureDomain == settings.failureDomain &&
            nowMs - lastHeartbeatsMs >= members.size * HEARTBEAT_MS_PER_ROW

    /** The heartbeats that are ahead of what [peer] sent by at least [minAdvance]. */
    fun heartbeatsFor(
        peer: PeerState,
        minAdvance: Long,
    ): Map<InstanceId, Long> {
        if (peer.latestSender?.memberHash != members.hash) return emptyMap()
        return members.rows
            .filter { (id, row) -> id != settings.self && id != peer.instance && peer.isNewTo(id, row, minAdvance) }
            .mapValues { it.value.heartbeat }
    }
}

/** The result of applying a message. */
internal class AppliedMessage(
    val outputs: List<SyncOutput>,
    val hasNewData: Boolean,
)

internal fun DrainOutput.toSyncOutput(): SyncOutput? =
    when (this) {
        is DrainOutput.Changed -> SyncOutput.DrainsChanged(targets)
        is DrainOutput.Commit -> SyncOutput.CommitDrain(command)
        is DrainOutput.UndrainCommitted -> SyncOutput.UndrainCommitted(this)
        DrainOutput.Propagate -> null
    }
