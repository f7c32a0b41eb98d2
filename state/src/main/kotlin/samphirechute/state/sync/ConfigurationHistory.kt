package samphirechute.state.sync

import samphirechute.core.ServiceName
import samphirechute.core.service.ServiceSpec

/**
 * The configuration in force on one instance, with the revision of each recent change. Updates for other instances are
 * made from these.
 */
internal class ConfigurationHistory {
    private val services = LinkedHashMap<ServiceName, ServiceSpec>()
    private val changedRevisions = mutableMapOf<ServiceName, Long>()
    private val removedRevisions = mutableMapOf<ServiceName, Long>()

    /**
     * The first revision from which all changes are known. An instance at an older one gets the whole configuration.
     *
     * Changes must include services that were changed and changed back, or added and removed, between two revisions
     * that were applied here, since another instance may be at a revision in between.
     */
    private var historyStart = 0L

    var revision = 0L
        private set

    val current: Configuration get() = Configuration(revision, services.values.toList())

    /** Applies a whole configuration. Returns false when it is not newer than the one in force. */
    fun apply(configuration: Configuration): Boolean {
        if (configuration.revision <= revision) return false
        val names = configuration.services.mapTo(mutableSetOf()) { it.name }
        val changed = configuration.services.filter { services[it.name] != it }
        // A whole configuration does not show what was changed and changed back in the revisions that it skips.
        if (configuration.revision > revision + 1) historyStart = configuration.revision
        apply(changed, services.keys - names, configuration.revision)
        return true
    }

    /** Applies [update]. Returns false when it is not newer, or its base is above the revision in force. */
    fun apply(update: ConfigurationUpdate): Boolean {
        if (update.base == 0L) return apply(Configuration(update.revision, update.changed))
        if (update.revision <= revision || update.base > revision) return false
        apply(update.changed, update.removed, update.revision)
        return true
    }

    /** The update for an instance at revision [base], or null when it is up to date. */
    fun updateFrom(base: Long): ConfigurationUpdate? {
        if (base >= revision) return null
        if (base == 0L || base < historyStart) return ConfigurationUpdate(0, revision, services.values.toList())
        return ConfigurationUpdate(
            base = base,
            revision = revision,
            changed = services.values.filter { changedRevisions.getValue(it.name) > base },
            removed = removedRevisions.filterValues { it > base }.keys.toList(),
        )
    }

    private fun apply(
        changed: Collection<ServiceSpec>,
        removed: Collection<ServiceName>,
        newRevision: Long,
    ) {
        for (service in changed) {
            services[service.name] = service
            changedRevisions[service.name] = newRevision
            removedRevisions -= service.name
        }
        for (name in removed) {
            services -= name
            changedRevisions -= name
            removedRevisions[name] = newRevision
        }
        if (removedRevisions.size > MAX_REMOVED) {
            removedRevisions.clear()
            historyStart = newRevision
        }
        revision = newRevision
    }

    private companion object {
        /** Above this number, removals are dropped, and instances at older revisions get the whole configuration. */
        const val MAX_REMOVED = 256
    }
}
