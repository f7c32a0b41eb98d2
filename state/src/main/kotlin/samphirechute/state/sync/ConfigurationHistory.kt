package samphirechute.state.sync

import samphirechute.core.ServiceName
import samphirechute.core.service.ServiceSpec

/** The configuration in force with the revision of each recent change, from which updates for others are made. */
internal class ConfigurationHistory {
    private val services = LinkedHashMap<ServiceName, ServiceSpec>()
    private val changedAt = mutableMapOf<ServiceName, Long>()
    private val removedAt = mutableMapOf<ServiceName, Long>()

    /**
     * Changes are known from this revision on; an older base gets the whole set. Changes include services that changed
     * back, or came and went, between two revisions seen here: another instance may have seen the one in between.
     */
    private var knownFrom = 0L

    var revision = 0L
        private set

    val current: Configuration get() = Configuration(revision, services.values.toList())

    /** Applies a whole set; false when [configuration] is not newer than what is in force. */
    fun apply(configuration: Configuration): Boolean {
        if (configuration.revision <= revision) return false
        val names = configuration.services.mapTo(mutableSetOf()) { it.name }
        val changed = configuration.services.filter { services[it.name] != it }
        // A whole set does not tell what changed and changed back in the revisions that it skips.
        if (configuration.revision > revision + 1) knownFrom = configuration.revision
        apply(changed, services.keys - names, configuration.revision)
        return true
    }

    /** Applies [update]; false when it is not newer, or starts at a revision that is not reached here. */
    fun apply(update: ConfigurationUpdate): Boolean {
        if (update.base == 0L) return apply(Configuration(update.revision, update.changed))
        if (update.revision <= revision || update.base > revision) return false
        apply(update.changed, update.removed, update.revision)
        return true
    }

    /** What an instance at [base] lacks; null when it lacks nothing. */
    fun updateFrom(base: Long): ConfigurationUpdate? {
        if (base >= revision) return null
        if (base == 0L || base < knownFrom) return ConfigurationUpdate(0, revision, services.values.toList())
        return ConfigurationUpdate(
            base = base,
            revision = revision,
            changed = services.values.filter { changedAt.getValue(it.name) > base },
            removed = removedAt.filterValues { it > base }.keys.toList(),
        )
    }

    private fun apply(
        changed: Collection<ServiceSpec>,
        removed: Collection<ServiceName>,
        newRevision: Long,
    ) {
        for (service in changed) {
            services[service.name] = service
            changedAt[service.name] = newRevision
            removedAt -= service.name
        }
        for (name in removed) {
            services -= name
            changedAt -= name
            removedAt[name] = newRevision
        }
        if (removedAt.size > MAX_REMOVED) {
            removedAt.clear()
            knownFrom = newRevision
        }
        revision = newRevision
    }

    private companion object {
        const val MAX_REMOVED = 256
    }
}
