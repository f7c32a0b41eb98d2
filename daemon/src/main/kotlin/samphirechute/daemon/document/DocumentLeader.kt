package samphirechute.daemon.document

import samphirechute.daemon.Runtime
import samphirechute.daemon.controller.StoreController
import samphirechute.daemon.controller.SyncController
import samphirechute.daemon.peer.PeerRoutes
import samphirechute.net.peer.PeerClient
import samphirechute.state.command.Claimant
import samphirechute.state.command.Command
import samphirechute.state.command.CommandResult
import samphirechute.state.command.DrainTarget
import samphirechute.state.document.DocumentAssigner
import samphirechute.state.document.DocumentInput
import samphirechute.state.document.DocumentOutput
import samphirechute.state.document.DocumentRunner
import samphirechute.state.document.OpenDocument
import samphirechute.state.document.RunnerCondition
import samphirechute.state.raft.AppliedEntry
import samphirechute.state.store.DocumentRecord
import samphirechute.state.sync.Member
import samphirechute.state.sync.MemberHealth
import kotlin.random.Random

/** As store leader, assigns accepted documents to the instances of its failure domain. */
internal class DocumentLeader(
    private val runtime: Runtime,
    private val peerClient: PeerClient,
    private val store: StoreController,
    private val sync: SyncController,
    private val runners: DocumentRunners,
) {
    private val assigner = DocumentAssigner(runtime.claimant, Random(runtime.incarnation))
    private val addresses = (runtime.settings.peers + runtime.settings.self).associate { it.instance to it.address }

    fun start() {
        runtime.timer.every(TICK_MS) { if (store.isLeader) feed(DocumentInput.Ticked) }
        runtime.timer.every(RUNNERS_MS) {
            if (store.isLeader) feed(DocumentInput.RunnersChanged(sync.members.map(::toRunner)))
        }
    }

    fun leadershipChanged(isLeader: Boolean) {
        if (!isLeader) return feed(DocumentInput.LeadershipEnded)
        val open =
            store.state.documents.values
                .filter { it.finishedMs == null }
        feed(DocumentInput.LeadershipBegan(open.map(::toOpen)))
    }

    fun applied(entry: AppliedEntry) {
        if (entry.result is CommandResult.Rejected) return
        when (val command = entry.command) {
            is Command.AcceptDocument -> accepted(command.id)
            is Command.AssignDocument -> assigned(command)
            is Command.FinishDocument -> feed(DocumentInput.Finished(command.id))
            else -> Unit
        }
    }

    private fun accepted(id: String) {
        val record = store.state.documents[id] ?: return
        feed(DocumentInput.Accepted(toOpen(record)))
    }

    private fun assigned(command: Command.AssignDocument) {
        feed(DocumentInput.Assigned(command.id, command.runner, command.leaseMs))
        val record = store.state.documents[command.id] ?: return
        if (store.isLeader && record.finishedMs == null) tell(record, command.runner)
    }

    private fun tell(
        record: DocumentRecord,
        runner: Claimant,
    ) {
        val message = RunMessage(record, runner, remainingMs(record))
        if (runner.instance == runtime.self) return runners.assigned(message)
        val address = addresses[runner.instance] ?: return
        peerClient.call(address, PeerRoutes.runDocument, message, TELL_TIMEOUT_MS) { }
    }

    private fun feed(input: DocumentInput) {
        for (output in assigner.handle(input, runtime.nowMs)) {
            when (output) {
                is DocumentOutput.Commit -> store.propose(output.command) { }
            }
        }
    }

    private fun toOpen(record: DocumentRecord) = OpenDocument(record.id, remainingMs(record), record.runner)

    private fun remainingMs(record: DocumentRecord) = record.deadlineMs - System.currentTimeMillis()

    private fun toRunner(member: Member): DocumentRunner {
        val isDrained = DrainTarget.Instance(member.instance) in sync.drainedTargets
        val condition =
            when {
                member.health == MemberHealth.DEAD -> RunnerCondition.LOST
                member.health == MemberHealth.SUSPECTED || member.isLeaving || isDrained -> RunnerCondition.NOT_TAKING
                else -> RunnerCondition.AVAILABLE
            }
        return DocumentRunner(Claimant(member.instance, member.incarnation), condition)
    }

    private companion object {
        /** The assigner counts at most 200 ms between two inputs, so that a clock that jumps fails no document. */
        const val TICK_MS = 100L
        const val RUNNERS_MS = 500L
        const val TELL_TIMEOUT_MS = 1_000L
    }
}
