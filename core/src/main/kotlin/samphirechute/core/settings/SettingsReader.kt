package samphirechute.core.settings

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.mapError
import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.core.service.ServiceRules
import samphirechute.core.toml.TomlSource
import samphirechute.core.toml.TomlTable
import java.nio.file.Path

/**
 * Reads and validates the settings of a daemon, when it starts. Paths in the file are relative to the folder of the
 * file. All faults are reported together, each as one error.
 */
object SettingsReader {
    fun read(file: Path): Result<DaemonSettings, List<SettingsError>> {
        val folder = file.toAbsolutePath().normalize().parent
        return TomlSource.readText(file).mapError { listOf(it) }.flatMap { parse(file.toString(), it, folder) }
    }

    fun parse(
        file: String,
        text: String,
        folder: Path,
    ): Result<DaemonSettings, List<SettingsError>> = TomlSource.parse(file, text) { readSettings(it, folder) }
}

private const val ADDRESS_FORM = "IP:PORT, such as \"10.0.0.5:7101\" or \"[fd00::5]:7101\""
private const val KEY_FORM = "16 to 256 printable characters without spaces, or { file = \"PATH\" }"
private const val MIN_KEY_LENGTH = 16
private const val MAX_KEY_LENGTH = 256

private fun readSettings(
    table: TomlTable,
    folder: Path,
): DaemonSettings? {
    val instance = readName(table, "instance")
    val failureDomain = readName(table, "failure_domain")
    val listen = readAddress(table, "listen")
    val peers = table.tables("peers").map { readPeer(it) }
    val store = table.optionalTable("store")?.let { readStore(it, folder) }
    val keys = table.optionalTable("keys")?.let { readKeys(it, folder) } ?: AccessKeys()
    val limits = table.optionalTable("limits")?.let { readLimits(it) } ?: LimitSettings()
    if (instance == null || failureDomain == null || listen == null || peers.any { it == null }) return null
    val settings =
        DaemonSettings(
            InstanceId(instance),
            FailureDomain(failureDomain),
            listen,
            peers.filterNotNull(),
            store,
            keys,
            limits,
        )
    SettingsRules.problems(settings).forEach { table.report(it.field, it.problem, it.accepted) }
    return settings
}

private fun readName(
    table: TomlTable,
    key: String,
) = table.text(key, ServiceRules.NAME_FORM, ServiceRules::isName)

private fun readAddress(
    table: TomlTable,
    key: String,
): HostPort? =
    table
        .text(key, ADDRESS_FORM) { text ->
            val address = HostPort.parse(text)
            address != null && address.port > 0 && address.inetAddress()?.isAnyLocalAddress == false
        }?.let(HostPort::parse)

private fun readPeer(table: TomlTable): PeerSettings? {
    val instance = readName(table, "instance")
    val failureDomain = readName(table, "failure_domain")
    val address = readAddress(table, "address")
    val isStore = table.optionalFlag("store") ?: false
    table.rejectUnknown()
    if (instance == null || failureDomain == null || address == null) return null
    return PeerSettings(InstanceId(instance), FailureDomain(failureDomain), address, isStore)
}

private fun readStore(
    table: TomlTable,
    folder: Path,
): StoreSettings? {
    val dataFolder = table.text("data_folder", "the path of a folder") { it.isNotBlank() && '\u0000' !in it }
    table.rejectUnknown()
    return dataFolder?.let { StoreSettings(folder.resolve(it).normalize()) }
}

private fun readKeys(
    table: TomlTable,
    folder: Path,
): AccessKeys {
    val keys =
        AccessKeys(
            readKey(table, "peer", folder),
            readKey(table, "upstream", folder),
            readKey(table, "operator", folder),
        )
    table.rejectUnknown()
    return keys
}

/** Error messages do not show the value, since it may be a key with one wrong character. */
private fun readKey(
    table: TomlTable,
    role: String,
    folder: Path,
): String? {
    if (!table.has(role)) return null
    val key =
        if (table.isTable(role)) {
            val inner = table.optionalTable(role) ?: return null
            val file = inner.text("file", "the path of a file") { it.isNotBlank() && '\u0000' !in it }
            inner.rejectUnknown()
            val path = folder.resolve(file ?: return null)
            TomlSource
                .readText(
                    path,
                ).fold({ it.trim() }, { return table.report(role, "${it.problem}: $file", KEY_FORM) })
        } else {
            table.optionalSecret(role, KEY_FORM) ?: return null
        }
    val isValid = key.length in MIN_KEY_LENGTH..MAX_KEY_LENGTH && key.all { it in '!'..'~' }
    return if (isValid) key else table.report(role, "is not a valid key", KEY_FORM)
}

private fun readLimits(table: TomlTable): LimitSettings {
    val default = LimitSettings()
    val limits =
        LimitSettings(
            maxBodyBytes =
                table.optionalNumber("max_body_bytes", 1_024L..BYTES_LIMIT, "bytes")?.toInt()
                    ?: default.maxBodyBytes,
            maxBufferedBytes =
                table.optionalNumber("max_buffered_bytes", 1_024L..BYTES_LIMIT, "bytes")
                    ?: default.maxBufferedBytes,
            maxHeadBytes =
                table.optionalNumber("max_head_bytes", 1_024L..1_048_576L, "bytes")?.toInt()
                    ?: default.maxHeadBytes,
            maxConnections =
                table.optionalNumber("max_connections", 1L..1_000_000L, "connections")?.toInt()
                    ?: default.maxConnections,
            stopLimitMs =
                table.optionalNumber("stop_limit_ms", 0L..86_400_000L, "milliseconds")
                    ?: default.stopLimitMs,
        )
    table.rejectUnknown()
    return limits
}

private const val BYTES_LIMIT = 1_073_741_824L
