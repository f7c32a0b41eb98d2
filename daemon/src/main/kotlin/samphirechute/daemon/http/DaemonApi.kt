package samphirechute.daemon.http

import com.github.michaelbull.result.fold
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.serialization.json.Json
import samphirechute.core.api.ApiPaths
import samphirechute.core.settings.DaemonSettings
import samphirechute.daemon.Lifecycle
import samphirechute.daemon.caller.CallerApi
import samphirechute.daemon.controller.SyncController
import samphirechute.daemon.document.BlobApi
import samphirechute.daemon.document.BlobClient
import samphirechute.daemon.operator.OperatorApi
import samphirechute.daemon.upstream.AnnouncementReader
import samphirechute.net.Exchange
import samphirechute.net.peer.PeerApi
import java.io.ByteArrayOutputStream

/**
 * The HTTP entry point of a daemon: routes each request by its path. The paths of peers, operators and upstreams need
 * the key of that role; the others need none.
 */
internal class DaemonApi(
    settings: DaemonSettings,
    private val lifecycle: Lifecycle,
    private val callers: CallerApi,
    private val operators: OperatorApi,
    private val peers: PeerApi,
    private val blobs: BlobApi,
    private val sync: SyncController,
    private val registry: PrometheusRegistry,
) {
    private val peerKey = KeyCheck("peer", settings.keys.peer)
    private val upstreamKey = KeyCheck("upstream", settings.keys.upstream)
    private val operatorKey = KeyCheck("operator", settings.keys.operator)
    private val domain = settings.failureDomain

    fun handle(exchange: Exchange) {
        val path = exchange.request.path
        when {
            path.startsWith(BlobClient.PATH) -> withKey(exchange, peerKey) { blobs.handle(exchange) }
            path.startsWith("/peer/") -> withKey(exchange, peerKey) { peers.handle(exchange) }
            path.startsWith("/operator/") -> withKey(exchange, operatorKey) { operators.handle(exchange) }
            path == ANNOUNCE -> withKey(exchange, upstreamKey) { handleAnnouncement(exchange) }
            path == ApiPaths.HEALTH -> exchange.respondJson(OK, """{"status":"ok"}""")
            path == ApiPaths.READINESS -> readiness(exchange)
            path == ApiPaths.METRICS -> metrics(exchange)
            else -> callers.handle(exchange)
        }
    }

    private fun withKey(
        exchange: Exchange,
        key: KeyCheck,
        action: () -> Unit,
    ) {
        val error = key.check(exchange.request)
        if (error == null) action() else exchange.refuse(error)
    }

    private fun handleAnnouncement(exchange: Exchange) {
        val text = exchange.request.text()
        AnnouncementReader.read(text).fold(
            { report ->
                if (report.failureDomain != domain) {
                    exchange.refuse(RequestError.InvalidBody("this instance is in failure domain $domain"))
                } else {
                    sync.reportUpstream(report.upstream, Json.parseToJsonElement(text))
                    exchange.respondJson(OK, "{}")
                }
            },
            { exchange.refuse(it) },
        )
    }

    private fun readiness(exchange: Exchange) {
        val reason = lifecycle.notReadyReason()
        if (reason ==
            null
        ) {
            exchange.respondJson(OK, """{"status":"ready"}""")
        } else {
            exchange.refuse(RequestError.NotReady(reason))
        }
    }

    private fun metrics(exchange: Exchange) {
        val out = ByteArrayOutputStream()
        val writer = PrometheusTextFormatWriter.create()
        writer.write(out, registry.scrape())
        exchange.respond(OK, writer.contentType, out.toByteArray())
    }

    private companion object {
        const val OK = 200
        const val ANNOUNCE = "/upstream/v1/announce"
    }
}
