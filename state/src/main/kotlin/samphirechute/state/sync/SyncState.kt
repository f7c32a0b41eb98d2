package samphirechute.state.sync

import samphirechute.core.FailureDomain
import samphirechute.core.InstanceId
import samphirechute.state.drain.DrainInput
import samphirechute.state.drain.DrainOutput
import samphirechute.state.drain.DrainTracker

/** Everything that an instance synchronises, with what others lack of it. */
internal class SyncState(
    private val settings: SyncSettings,
    private val drains: DrainTracker,
) {
    val configuration = ConfigurationHistory()
    val members = MemberTable(settings.self)
    val digests = DigestTable()
    var isLeaving = false
    var isStoreCurrent = false
    private val failureDomains = settings.peers.mapTo(sortedSetOf()) { it.failureDomain }
    private var heartbeat = 0L

    /** When heartbeats last came as an answer. */
    private var heartbeatsMs = Long.MIN_VALUE / 2

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
            isStoreCurrent = isStoreCurrent,
        )

    /** Advances the own heartbeat, and keeps the own row of the member table up to date. */
    fun beat(): Member? {
        heartbeat++
        return refreshOwnRow()
    }

    fun refreshOwnRow(): Member? =
        members.merge(
            settings.self,
            MemberRow(settings.incarnation, heartbeat, configuration.revision, isLeaving),
        )

    /** What [peer] lacks, judging by its latest message, and the digests that it wants. */
    fun lackedBy(
        peer: PeerState,
        nowMs: Long,
        wantedDigests: Collection<FailureDomain> = emptyList(),
    ): SyncData {
        val known = peer.known ?: return SyncData()
        val isOwnDomain = peer.peer.failureDomain == settings.failureDomain
        val isSameTable = known.memberHash == members.hash
        return SyncData(
            configuration = configuration.updateFrom(known.revision),
            drains = drains.record.takeIf { it.version > known.drainVersion },
            overlay = if (known.overlayHash == drains.entriesHash) emptyList() else drains.entries.toList(),
            members = if (isOwnDomain && !isSameTable) members.rows else emptyMap(),
            digests = digests.all(nowMs).filter { it.failureDomain in wantedDigests },
        )
    }

    /** The own digest, unless [peer] was already told it. */
    fun ownDigestFor(
        peer: PeerState,
        nowMs: Long,
    ): List<DomainDigest> {
        val own = digests.all(nowMs).filter { it.failureDomain == settings.failureDomain }
        return own.filter { it.version != peer.toldDigest }.onEach { peer.toldDigest = it.version }
    }

    /** The failure domains whose digest to ask [peer] for. A coordinator always has the newest one of its own. */
    fun wantedDigests(
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

    /** Takes in what another instance told. Returns the outputs, and whether it was news to pass on. */
    fun absorb(
        message: SyncMessage,
        isOwnDomain: Boolean,
        nowMs: Long,
    ): Absorbed {
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
        return Absorbed(outputs, isConfigured || DrainOutput.Spread in drainOutputs)
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
            if (message is SyncMessage.Reply && message.data.heartbeats.isNotEmpty()) heartbeatsMs = nowMs
            message.data.heartbeats.mapTo(changed) { (id, it) ->
                if (id == settings.self) null else members.mergeHeartbeat(id, it)
            }
        }
        return changed.filterNotNull()
    }

    /** The rows whose heartbeats [message] tells; its heartbeats only mean something to a table with an equal hash. */
    fun rowsOf(message: SyncMessage): Map<InstanceId, MemberRow> {
        if (message.sender.memberHash != members.hash) return emptyMap()
        val rows = members.rows
        return message.data.heartbeats
            .filterKeys { it in rows }
            .mapValues { (id, it) -> rows.getValue(id).copy(heartbeat = it) }
    }

    /** Whether to ask [peer] for heartbeats: of a large table less often, to keep within the traffic bound. */
    fun wantsHeartbeats(
        peer: PeerState,
        nowMs: Long,
    ): Boolean =
        peer.peer.failureDomain == settings.failureDomain &&
            nowMs - heartbeatsMs >= members.size * HEARTBEAT_MS_PER_ROW

    /** The heartbeats that are ahead of what [peer] knows by [minAdvance] at least. */
    fun heartbeatsFor(
        peer: PeerState,
        minAdvance: Long,
    ): Map<InstanceId, Long> {
        if (peer.known?.memberHash != members.hash) return emptyMap()
        return members.rows
            .filter { (id, row) -> id != settings.self && id != peer.instance && peer.isNewTo(id, row, minAdvance) }
            .mapValues { it.value.heartbeat }
    }
}

internal class Absorbed(
    val outputs: List<SyncOutput>,
    val isNews: Boolean,
)

internal fun DrainOutput.toSyncOutput(): SyncOutput? =
    when (this) {
        is DrainOutput.Changed -> SyncOutput.DrainsChanged(targets)
        is DrainOutput.Commit -> SyncOutput.CommitDrain(command)
        is DrainOutput.UndrainCommitted -> SyncOutput.UndrainCommitted(this)
        DrainOutput.Spread -> null
    }
