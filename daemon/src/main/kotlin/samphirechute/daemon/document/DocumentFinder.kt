package samphirechute.daemon.document

import com.github.michaelbull.result.get
import samphirechute.core.HostPort
import samphirechute.daemon.Runtime
import samphirechute.daemon.controller.StoreController
import samphirechute.daemon.peer.PeerRoutes
import samphirechute.net.peer.PeerClient
import samphirechute.state.store.DocumentRecord

/** Looks a document up at the store members, of which one may lag: the record that is furthest on counts. */
internal class DocumentFinder(
    private val runtime: Runtime,
    private val peerClient: PeerClient,
    private val local: StoreController?,
) {
    private val stores =
        runtime.settings.peers
            .filter { it.isStore && it.instance != runtime.self }
            .map { it.address }

    fun find(
        id: String,
        onFound: (DocumentRecord?) -> Unit,
    ) = findFrom(id, ArrayDeque(stores), local?.state?.documents?.get(id), onFound)

    private fun findFrom(
        id: String,
        candidates: ArrayDeque<HostPort>,
        best: DocumentRecord?,
        onFound: (DocumentRecord?) -> Unit,
    ) {
        if (best?.finishedMs != null) return onFound(best)
        val address = candidates.removeFirstOrNull() ?: return onFound(best)
        peerClient.call(address, PeerRoutes.findDocument, FindMessage(id), TIMEOUT_MS) { result ->
            findFrom(id, candidates, furthest(best, result.get()?.record), onFound)
        }
    }

    private fun furthest(
        one: DocumentRecord?,
        other: DocumentRecord?,
    ) = listOfNotNull(one, other).maxByOrNull {
        if (it.finishedMs !=
            null
        ) {
            FINISHED
        } else if (it.runner != null) {
            1
        } else {
            0
        }
    }

    private companion object {
        const val TIMEOUT_MS = 1_000L
        const val FINISHED = 2
    }
}
