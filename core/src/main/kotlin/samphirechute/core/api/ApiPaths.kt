package samphirechute.core.api

/** Paths of the HTTP interface for operators, callers and the platform. */
object ApiPaths {
    const val COMPLETIONS = "/v1/completions"
    const val CHAT_COMPLETIONS = "/v1/chat/completions"

    /** Followed by the service name and the path within the application. */
    const val SERVICES_PREFIX = "/v1/services/"

    /** Followed by the document identifier. */
    const val DOCUMENTS_PREFIX = "/v1/documents/"

    const val OPERATOR_PREFIX = "/operator/v1/"

    /** `POST` of a [PublishRequest], answered with a [PublishReply]. */
    const val PUBLISH = "/operator/v1/publish"

    /** `GET`, answered with a [StatusView]. */
    const val STATUS = "/operator/v1/status"

    /** `GET`, answered with a [ServicesView]. */
    const val SERVICES = "/operator/v1/services"

    /** `GET`, answered with an [UpstreamsView]. */
    const val UPSTREAMS = "/operator/v1/upstreams"

    /** `GET`, answered with an [InstancesView]. */
    const val INSTANCES = "/operator/v1/instances"

    /** `POST` of a [DrainRequest], answered with a [DrainReply]. */
    const val DRAINS = "/operator/v1/drains"

    /** `POST` of an [OrderRequest], answered with an [OrderReply]. */
    const val ORDERS = "/operator/v1/orders"

    /** `POST` of a [RejoinRequest] to the instance whose disk was replaced, answered with a [RejoinReply]. */
    const val REJOIN = "/operator/v1/store/rejoin"

    /** `GET`, optionally with the query parameter [REQUEST_PARAMETER], answered with a [TimelineView]. */
    const val TIMELINE = "/operator/v1/timeline"

    const val REQUEST_PARAMETER = "request"

    const val HEALTH = "/healthz"
    const val READINESS = "/readyz"
    const val METRICS = "/metrics"
}
