package samphirechute.core

import kotlinx.serialization.Serializable

/** Identifies one instance, a process of this system; unique across failure domains and stable across restarts. */
@Serializable
@JvmInline
value class InstanceId(
    val value: String,
) : Comparable<InstanceId> {
    override fun compareTo(other: InstanceId) = value.compareTo(other.value)

    override fun toString() = value
}

/** Names one failure domain, such as `sofia-a`. */
@Serializable
@JvmInline
value class FailureDomain(
    val value: String,
) : Comparable<FailureDomain> {
    override fun compareTo(other: FailureDomain) = value.compareTo(other.value)

    override fun toString() = value
}

/** Identifies one upstream: a model engine or a plain service process. */
@Serializable
@JvmInline
value class UpstreamId(
    val value: String,
) : Comparable<UpstreamId> {
    override fun compareTo(other: UpstreamId) = value.compareTo(other.value)

    override fun toString() = value
}

/** Names the team that owns a service and whose usage its requests count towards. */
@Serializable
@JvmInline
value class TeamName(
    val value: String,
) : Comparable<TeamName> {
    override fun compareTo(other: TeamName) = value.compareTo(other.value)

    override fun toString() = value
}

/** Names one service, as in its service file. */
@Serializable
@JvmInline
value class ServiceName(
    val value: String,
) : Comparable<ServiceName> {
    override fun compareTo(other: ServiceName) = value.compareTo(other.value)

    override fun toString() = value
}

/** Names what a group of upstreams serves: a model served by engines, or an application of plain services. */
@Serializable
@JvmInline
value class PoolName(
    val value: String,
) : Comparable<PoolName> {
    override fun compareTo(other: PoolName) = value.compareTo(other.value)

    override fun toString() = value
}

/** Identifies a caller's request; a retry of the same request has the same identifier. */
@Serializable
@JvmInline
value class RequestId(
    val value: String,
) : Comparable<RequestId> {
    override fun compareTo(other: RequestId) = value.compareTo(other.value)

    override fun toString() = value
}

/** Identifies an operator's change; a retry of the same change has the same identifier. */
@Serializable
@JvmInline
value class OperationId(
    val value: String,
) : Comparable<OperationId> {
    override fun compareTo(other: OperationId) = value.compareTo(other.value)

    override fun toString() = value
}

/** What requests may have in common: a part of their prompts, or that each repeats the same whole request. */
@Serializable
@JvmInline
value class RequestTrait(
    val value: String,
) : Comparable<RequestTrait> {
    /** True if all requests with this trait are the same but for their identifiers, deadlines and headers. */
    val isWholeRequest: Boolean get() = value.startsWith(WHOLE_REQUEST)

    override fun compareTo(other: RequestTrait) = value.compareTo(other.value)

    override fun toString() = value

    companion object {
        /** Holds a character that identifiers of parts never have, so that no caller can name another one's request. */
        private const val WHOLE_REQUEST = "request:"

        fun wholeRequest(digest: String) = RequestTrait(WHOLE_REQUEST + digest)
    }
}
