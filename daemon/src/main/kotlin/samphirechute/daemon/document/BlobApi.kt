package samphirechute.daemon.document

import samphirechute.daemon.http.RequestError
import samphirechute.daemon.http.refuse
import samphirechute.daemon.http.respondJson
import samphirechute.net.Exchange

/** Serves the blobs of this instance to others. */
internal class BlobApi(
    private val blobs: BlobStore?,
) {
    fun handle(exchange: Exchange) {
        val store = blobs ?: return exchange.refuse(RequestError.Unavailable("this instance has no disk"))
        val digest = exchange.request.path.removePrefix(BlobClient.PATH)
        if (!BlobStore.isDigest(
                digest,
            )
        ) {
            return exchange.refuse(RequestError.InvalidBody("the path must end in a SHA-256"))
        }
        when (exchange.request.method) {
            "PUT" -> put(exchange, store, digest)
            "GET" -> get(exchange, store, digest)
            else -> exchange.refuse(RequestError.WrongMethod("GET or PUT"))
        }
    }

    private fun put(
        exchange: Exchange,
        store: BlobStore,
        digest: String,
    ) = store.put(digest, exchange.request.body) { isStored ->
        if (isStored) {
            exchange.respondJson(
                OK,
                "{}",
            )
        } else {
            exchange.refuse(RequestError.Unavailable("the blob was not stored"))
        }
    }

    private fun get(
        exchange: Exchange,
        store: BlobStore,
        digest: String,
    ) = store.get(digest) { bytes ->
        if (bytes == null) {
            exchange.refuse(RequestError.UnknownPath(exchange.request.path))
        } else {
            exchange.respond(OK, "application/octet-stream", bytes)
        }
    }

    private companion object {
        const val OK = 200
    }
}
