package samphirechute.state.store

import kotlinx.collections.immutable.toPersistentList
import samphirechute.state.command.Command
import samphirechute.state.command.CommandResult

private const val MAX_PUBLISHES = 1_000

/** Of several sets on one base revision the first is published; the others learn which revision and operation won. */
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

/** An equal or lower revision changes nothing, whatever it holds: it is a resend, or was overtaken. */
internal fun StoreState.adopt(command: Command.AdoptConfig): Applied {
    val current = adopted
    if (current != null && command.revision <= current.revision) {
        return applied(CommandResult.Adopted(current.revision, isChanged = false))
    }
    return applied(CommandResult.Adopted(command.revision, isChanged = true)) {
        copy(adopted = AdoptedConfig(command.revision, command.content))
    }
}

/** The version grows only when the set of drained targets changes. */
internal fun StoreState.setDrain(command: Command.SetDrain): Applied {
    val next = if (command.isDrained) drains.add(command.target) else drains.remove(command.target)
    if (next.size == drains.size) return applied(CommandResult.Drained(drainVersion))
    return applied(CommandResult.Drained(drainVersion + 1)) { copy(drains = next, drainVersion = drainVersion + 1) }
}
