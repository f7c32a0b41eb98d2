package samphirechute.bench.process

import samphirechute.core.OperationId
import samphirechute.core.PoolName
import samphirechute.core.ServiceName
import samphirechute.core.TeamName
import samphirechute.core.api.ApiJson
import samphirechute.core.api.ApiPaths
import samphirechute.core.api.PublishReply
import samphirechute.core.api.PublishRequest
import samphirechute.core.service.ServiceSpec
import samphirechute.core.service.ServiceTarget

/** One service of the bench pool; [mark] makes two versions of it differ. */
internal fun benchService(mark: Long = 0) =
    ServiceSpec(
        ServiceName("bench"),
        TeamName("bench"),
        ServiceTarget.Model(PoolName(FastEngine.POOL)),
        firstTokenMs = 30_000,
        deadlineMs = 120_000 + mark,
    )

/** Publishes one service set through [daemon]; null when there was no answer. */
internal fun ProcessCluster.publish(
    daemon: DaemonProcess,
    base: Long,
    operation: String,
    services: List<ServiceSpec> = listOf(benchService(base)),
): PublishReply? {
    val request = PublishRequest(OperationId(operation), base, services)
    val body = ApiJson.encodeToString(PublishRequest.serializer(), request)
    val answer = post(daemon.address, ApiPaths.PUBLISH, body)?.takeIf { it.status == 200 } ?: return null
    return ApiJson.decodeFromString(PublishReply.serializer(), answer.body.decodeToString())
}
