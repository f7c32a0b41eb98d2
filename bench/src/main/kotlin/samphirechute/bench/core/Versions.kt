package samphirechute.bench.core

import java.util.concurrent.ConcurrentLinkedQueue

/** One configuration that an operator sent. */
internal class Version(
    val number: Long,
    val routes: Set<String>,
    val added: String,
    val removed: String?,
    val content: String,
) {
    @Volatile var acknowledgement: Acknowledgement? = null
}

internal class Acknowledgement(
    val by: String,
    val atMs: Long,
)

/** All configurations that operators sent in one round, and what instances may do by them. */
internal class Versions {
    private val all = ConcurrentLinkedQueue<Version>()

    fun add(version: Version) {
        all += version
    }

    fun list(): List<Version> = all.toList()

    /** The highest number that was acknowledged before a time. */
    fun floor(beforeMs: Long): Version? =
        all
            .filter { version ->
                version.acknowledgement.let { it != null && it.atMs <= beforeMs }
            }.maxByOrNull { it.number }

    /** True when some configuration that is no older than [floor] allows what came for [route]. */
    fun allows(
        route: String,
        isServed: Boolean,
        floor: Version?,
    ) = all.any { it.number >= (floor?.number ?: 0) && (route in it.routes) == isServed }

    fun ofNumber(number: Long): List<Version> = all.filter { it.number == number }
}
