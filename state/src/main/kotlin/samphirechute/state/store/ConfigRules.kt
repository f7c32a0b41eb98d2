package samphirechute.state.store

import kotlinx.collections.immutable.toPersistentList
import samphirechute.state.command.Command
import samphirechute.state.command.CommandResult

/*
 * The commands on configuration and drains. StoreState.apply calls these functions.
 */

private const val MAX_PUBLISHES = 1_000

/**
 * Publishes the first of several service sets on one base revision. The others get the revision and operation that won.
 */
internal fun StoreState.publish(command: Command.PublishConfig): Applied {
    if (command.baseRevision > revision) {
        return rejected("base_revision_ahead", "base revision ${command.baseRevision} is above $revision")
    }
    if (command.baseRevision < revision) {
        val winning = publishes.find { it.revision == command.baseRevision + 1 } ?: publishes.lastOrNull()
        return applied(CommandResult.Conflict(winning?.revision ?: revision, winning?.operationId))
    }
    val repeated =
        command.services
            .groupBy { it.name }
            .values
            .firstOrNull { it.size > 1 }
    if (repeated != null) return rejected("duplicate_service", "service '${repeated.first().name}' is listed twice")
    val next = revision + 1
    val trimmed = if (publishes.size < MAX_PUBLISHES) publishes else publishes.removeAt(0)
    return applied(CommandResult.Published(next)) {
        copy(
            revision = next,
            services = command.services.toPersistentList(),
            publishes = trimmed.add(PublishRecord(next, command.operationId)),
        )
    }
}

/** Ignores an equal or lower revision, whatever its content, because it is a resend or has been overtaken. */
internal fun StoreState.adopt(command: Command.AdoptConfig): Applied {
    val current = adopted
    if (current != null && command.revision <= current.revision) {
        return applied(CommandResult.Adopted(current.revision, isChanged = false))
    }
    return applied(CommandResult.Adopted(command.revision, isChanged = true)) {
        copy(adopted = AdoptedConfig(command.revision, command.content))
    }
}

/**
 * Adds or removes a drain. The version increases only if the set of drained targets changes. An order for an older version
 * is rejected: it was held up while others were carried out.
 */
internal fun StoreState.setDrain(command: Command.SetDrain): Applied {
    if (command.baseVersion != null && command.baseVersion != drainVersion) {
        return rejected("drains_changed", "the drains have version $drainVersion, not ${command.baseVersion}")
    }
    val next = if (command.isDrained) drains.add(command.target) else drains.remove(command.target)
    if (next.size == drains.size) return applied(CommandResult.Drained(drainVersion))
    return applied(CommandResult.Drained(drainVersion + 1)) { copy(drains = next, drainVersion = drainVersion + 1) }
}
