package samphirechute.bench.stops

import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name
import kotlin.io.path.useLines

/** What the logs of the entry instances in [folder] say of the sendings of a request. */
internal class AttemptLog(
    private val folder: Path,
) {
    /** The fields of each sending that tell which connection it used; older builds log only some of them. */
    fun of(call: Call): String =
        folder
            .listDirectoryEntries()
            .filter { call.entry in it.name }
            .flatMap { log -> log.useLines { lines -> lines.filter { isEnd(it, call) }.map(::fields).toList() } }
            .joinToString(" ")

    private fun isEnd(
        line: String,
        call: Call,
    ) = "event=attempt_ended" in line && "request=${call.request} " in "$line "

    private fun fields(line: String) =
        line.split(' ').filter { it.substringBefore('=') in SHOWN }.joinToString(" ", "[", "]")

    private companion object {
        val SHOWN = setOf("send", "upstream", "outcome", "head", "connection", "calls_before", "skipped_answers")
    }
}
