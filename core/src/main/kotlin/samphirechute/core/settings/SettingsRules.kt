package samphirechute.core.settings

/** Validates rules that involve several fields of the settings; [SettingsReader] calls it once all fields are read. */
internal object SettingsRules {
    /** More members would make each commit slower, and the failures to be survived do not need more of them. */
    private const val MAX_STORE_MEMBERS = 7

    fun problems(settings: DaemonSettings): List<FieldProblem> =
        keyProblems(settings) + peerProblems(settings) + selfProblems(settings) + storeProblems(settings) +
            limitProblems(settings.limits)

    private fun keyProblems(settings: DaemonSettings): List<FieldProblem> {
        if (settings.listen.inetAddress()?.isLoopbackAddress == true) return emptyList()
        val keys = settings.keys
        val missing = listOf("peer" to keys.peer, "upstream" to keys.upstream, "operator" to keys.operator)
        return missing.filter { it.second == null }.map { (role, _) ->
            FieldProblem(
                "keys.$role",
                "is missing although 'listen' is not loopback",
                "a key for each of peer, upstream and operator, or a loopback address",
            )
        }
    }

    private fun peerProblems(settings: DaemonSettings): List<FieldProblem> =
        settings.peers.flatMapIndexed { index, peer ->
            val earlier = settings.peers.take(index)
            listOfNotNull(
                FieldProblem("peers[$index].instance", "repeats instance '${peer.instance}'", "each instance once")
                    .takeIf { earlier.any { it.instance == peer.instance } },
                FieldProblem("peers[$index].address", "repeats address ${peer.address}", "each address once")
                    .takeIf { earlier.any { it.address == peer.address } },
                FieldProblem("peers[$index].address", "is the address of this instance", "the address of the peer")
                    .takeIf { peer.instance != settings.instance && peer.address == settings.listen },
            )
        }

    private fun selfProblems(settings: DaemonSettings): List<FieldProblem> {
        val index = settings.peers.indexOfFirst { it.instance == settings.instance }
        if (index < 0) return emptyList()
        val entry = settings.peers[index]
        val self = settings.self
        return listOfNotNull(
            FieldProblem("peers[$index].failure_domain", "differs from 'failure_domain'", "${self.failureDomain}")
                .takeIf { entry.failureDomain != self.failureDomain },
            FieldProblem("peers[$index].address", "differs from 'listen'", "${self.address}")
                .takeIf { entry.address != self.address },
            FieldProblem(
                "peers[$index].store",
                "differs from the table 'store'",
                "store = true on exactly the instances that have a [store] table",
            ).takeIf { entry.isStore != self.isStore },
        )
    }

    private fun storeProblems(settings: DaemonSettings): List<FieldProblem> {
        val members = (settings.peers + settings.self).filter { it.isStore }.distinctBy { it.instance }
        val problem =
            when {
                members.isEmpty() -> "has no store member, so no configuration can be published"
                members.size > MAX_STORE_MEMBERS -> "has ${members.size} store members"
                else -> return emptyList()
            }
        return listOf(FieldProblem("peers", problem, "1 to $MAX_STORE_MEMBERS instances with store = true"))
    }

    private fun limitProblems(limits: LimitSettings) =
        listOfNotNull(
            FieldProblem("limits.max_buffered_bytes", "is lower than max_body_bytes", "at least max_body_bytes")
                .takeIf { limits.maxBufferedBytes < limits.maxBodyBytes },
        )
}
