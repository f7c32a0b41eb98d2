package samphirechute.daemon.document

import com.github.michaelbull.result.fold
import samphirechute.core.InstanceId
import samphirechute.core.settings.PeerSettings
import samphirechute.daemon.Runtime
import samphirechute.net.ClientRequest

/** Puts blobs on the disks of two store members in different failure domains, and reads them back from any. */
internal class BlobClient(
    private val runtime: Runtime,
    private val local: BlobStore?,
) {
    private val stores =
        (runtime.settings.peers + runtime.settings.self)
            .filter {
                it.isStore
            }.distinctBy { it.instance }
    private val headers =
        runtime.settings.keys.peer
            ?.let { mapOf("Authorization" to "Bearer $it") }
            .orEmpty()

    /** [onDone] gets the holders once two disks have the blob, or null when there are not two that take it. */
    fun put(
        bytes: ByteArray,
        onDone: (digest: String, holders: List<InstanceId>?) -> Unit,
    ) {
        val digest = BlobStore.digestOf(bytes)
        // The own disk first, which costs no network; the others in an order that spreads over them.
        val order =
            stores.sortedWith(
                compareBy({ it.instance != runtime.self }, {
                    it.instance.value.hashCode() xor
                        digest.hashCode()
                }),
            )
        Placement(digest, bytes, ArrayDeque(order), onDone).next()
    }

    /** Reads a blob from the first of [holders] that has it. */
    fun get(
        digest: String,
        holders: List<InstanceId>,
        onDone: (ByteArray?) -> Unit,
    ) {
        val from = holders.mapNotNull { holder -> stores.find { it.instance == holder } }
        readFrom(digest, ArrayDeque(from.sortedBy { it.instance != runtime.self }), onDone)
    }

    private fun readFrom(
        digest: String,
        candidates: ArrayDeque<PeerSettings>,
        onDone: (ByteArray?) -> Unit,
    ) {
        val store = candidates.removeFirstOrNull() ?: return onDone(null)
        val onRead: (ByteArray?) -> Unit = { bytes ->
            if (bytes != null &&
                BlobStore.digestOf(bytes) == digest
            ) {
                onDone(bytes)
            } else {
                readFrom(digest, candidates, onDone)
            }
        }
        if (store.instance == runtime.self && local != null) return local.get(digest, onRead)
        val request = ClientRequest(store.address, "GET", "$PATH$digest", headers = headers)
        runtime.client.call(request, TIMEOUT_MS) { result ->
            result.fold({ onRead(if (it.status == OK) it.body else null) }, { onRead(null) })
        }
    }

    private inner class Placement(
        private val digest: String,
        private val bytes: ByteArray,
        private val candidates: ArrayDeque<PeerSettings>,
        private val onDone: (String, List<InstanceId>?) -> Unit,
    ) {
        private val holders = mutableListOf<PeerSettings>()

        fun next() {
            if (holders.size == COPIES) return onDone(digest, holders.map { it.instance })
            val store = candidates.removeFirstOrNull() ?: return onDone(digest, null)
            if (holders.any { it.failureDomain == store.failureDomain }) return next()
            if (store.instance == runtime.self && local != null) return local.put(digest, bytes) { stored(store, it) }
            val request =
                ClientRequest(store.address, "PUT", "$PATH$digest", bytes, "application/octet-stream", headers)
            runtime.client.call(request, TIMEOUT_MS) { result ->
                result.fold({ stored(store, it.status == OK) }, { stored(store, false) })
            }
        }

        private fun stored(
            store: PeerSettings,
            isStored: Boolean,
        ) {
            if (isStored) holders += store
            next()
        }
    }

    companion object {
        const val PATH = "/peer/v1/blobs/"
        private const val OK = 200
        private const val COPIES = 2
        private const val TIMEOUT_MS = 5_000L
    }
}
