package samphirechute.cli.command

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.map
import org.kohsuke.args4j.Option
import samphirechute.cli.CliContext
import samphirechute.cli.CliError
import samphirechute.cli.http.Fleet
import samphirechute.cli.http.Servers
import samphirechute.core.HostPort
import samphirechute.core.api.ApiJson
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** A command that talks to servers. */
internal abstract class ServerCommand : Command() {
    @Option(
        name = "--server",
        metaVar = "IP:PORT",
        usage = "an instance to ask; give several, or a list with commas; default: SAMPHIRECTL_SERVER",
    )
    var servers: MutableList<String> = mutableListOf()

    @Option(name = "--key-file", metaVar = "FILE", usage = "file with the operator key; default: SAMPHIRECTL_KEY")
    var keyFile: String? = null

    @Option(name = "--timeout-ms", metaVar = "MS", usage = "how long to try; default: 30000")
    var timeoutMs = 30_000L

    /** The servers given on the command line, with the operator key. */
    protected fun servers(context: CliContext): Result<Servers, CliError> =
        addresses(context).flatMap { servers(context, it) }

    protected fun fleet(context: CliContext): Result<Fleet, CliError> =
        addresses(context).flatMap { addresses ->
            key(context).map { key ->
                Fleet(serversWith(key, addresses, context)) { serversWith(key, listOf(it), context) }
            }
        }

    private fun serversWith(
        key: String?,
        addresses: List<HostPort>,
        context: CliContext,
    ) = Servers(addresses, key, timeoutMs, context, isQuiet = isJson)

    private fun servers(
        context: CliContext,
        addresses: List<HostPort>,
    ): Result<Servers, CliError> = key(context).map { serversWith(it, addresses, context) }

    protected fun addresses(context: CliContext): Result<List<HostPort>, CliError> {
        val texts = servers.ifEmpty { listOfNotNull(context.environment(SERVER_VARIABLE)) }.flatMap { it.split(',') }
        val given = texts.map { it.trim() }.filter { it.isNotEmpty() }
        if (given.isEmpty()) return usage("no server given; use --server IP:PORT or set $SERVER_VARIABLE")
        val wrong = given.firstOrNull { HostPort.parse(it) == null }
        if (wrong != null) return usage("'$wrong' is not an address; accepted: IP:PORT")
        return if (timeoutMs > 0) Ok(given.mapNotNull(HostPort::parse)) else usage("--timeout-ms must be above 0")
    }

    protected fun usage(message: String) = Err(CliError.Usage(message))

    private fun key(context: CliContext): Result<String?, CliError> {
        val file = keyFile ?: return Ok(context.environment(KEY_VARIABLE)?.trim()?.ifEmpty { null })
        return try {
            val key = Files.readString(Path.of(file)).trim()
            if (key.isEmpty()) usage("the key file $file is empty") else Ok(key)
        } catch (e: IOException) {
            usage("the key file $file cannot be read (${e.javaClass.simpleName})")
        }
    }

    protected companion object {
        const val SERVER_VARIABLE = "SAMPHIRECTL_SERVER"
        const val KEY_VARIABLE = "SAMPHIRECTL_KEY"
    }
}

/** Reads an answer of the operator interface. */
internal inline fun <reified T> decode(body: String): Result<T, CliError> =
    try {
        Ok(ApiJson.decodeFromString<T>(body))
    } catch (e: IllegalArgumentException) {
        Err(CliError.Failed("the server's answer could not be read: ${e.message?.lineSequence()?.first()}"))
    }
