package samphirechute.serving.cluster

import com.github.michaelbull.result.Result
import samphirechute.core.ServiceName
import samphirechute.core.TeamName
import samphirechute.routing.placing.PoolProfile

/** A configuration in the terms of the product, which a [ConfigReader] has read from the operators' format. */
data class ServingConfig(
    val revision: Long,
    val routes: List<Route>,
    val pools: List<PoolProfile>,
    /** Teams by the keys of their callers; empty when requests carry no key. */
    val teamsByKey: Map<String, Team>,
    val hasTeams: Boolean,
)

data class Team(
    val name: TeamName,
    val priority: Int?,
)

/** Whether the requests on a route may run more than once. */
enum class Repeatability {
    /** May run any number of times. */
    REPEATABLE,

    /** Runs at most once. */
    ONCE,
}

data class Route(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val backends: List<Backend>,
    val repeatability: Repeatability,
    val isStream: Boolean,
    /** True for a stream that another upstream can continue after the first has failed. */
    val isResumable: Boolean,
    val isPublic: Boolean,
    val maxAttempts: Int,
    val timeoutMs: Long,
    val targetMs: Long,
    val targetGapMs: Long?,
    val priority: Int,
)

data class Backend(
    val service: ServiceName,
    val weight: Int,
)

/** Reads the content of a configuration, whose format the deployment's platform defines. */
fun interface ConfigReader {
    /** Returns the configuration, or what is wrong with it. */
    fun read(content: String): Result<ServingConfig, String>
}
