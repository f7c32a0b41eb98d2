package samphirechute.bench.core

/** Prints the log lines of a round that tell which instance held which configuration, and why it took it. */
internal object Evidence {
    private val EVENTS =
        listOf(
            "configuration_submitted",
            "configuration_committed",
            "configuration_received",
            "configuration_confirmed",
            "configuration_used",
            "store_started",
            "leadership_gained",
            "members_changed",
        )

    /** How many lines of one event are printed for one start of an instance. */
    private const val SHOWN = 3

    fun print(system: CoreSystem) {
        for (machine in system.machines) {
            val child = machine.child ?: continue
            for (lines in child.logsOfAllStarts()) {
                EVENTS
                    .flatMap { event -> lines.filter { "event=$event " in it }.takeLast(SHOWN) }
                    .sorted()
                    .forEach { println("${machine.name} $it") }
            }
        }
    }
}
