package samphirechute.core.service

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.mapError
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import samphirechute.core.PoolName
import samphirechute.core.ServiceName
import samphirechute.core.TeamName
import samphirechute.core.settings.SettingsError
import samphirechute.core.toml.TomlSource
import samphirechute.core.toml.TomlTable
import java.io.IOException
import java.io.UncheckedIOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.streams.asSequence

/**
 * Reads and validates service files; the command line calls it to check and to publish them. All faults are reported
 * together, each as one error.
 */
object ServiceFileReader {
    fun read(file: Path): Result<ServiceSpec, List<SettingsError>> =
        TomlSource.readText(file).mapError { listOf(it) }.flatMap { parse(file.toString(), it) }

    fun parse(
        file: String,
        text: String,
    ): Result<ServiceSpec, List<SettingsError>> = TomlSource.parse(file, text, ::readService)

    /** Reads all `.toml` files in [folders] and their subfolders as one set, in which each service name is unique. */
    fun readFolders(folders: List<Path>): Result<List<ServiceSpec>, List<SettingsError>> {
        val errors = mutableListOf<SettingsError>()
        val files = mutableListOf<Path>()
        folders.forEach { folder -> filesOf(folder).onSuccess { files += it }.onFailure { errors += it } }
        val found = LinkedHashMap<ServiceName, Pair<Path, ServiceSpec>>()
        for (file in files.distinct()) {
            read(file).fold(
                success = { spec ->
                    val earlier = found.putIfAbsent(spec.name, file to spec)
                    if (earlier != null) errors += duplicate(file, spec.name, earlier.first)
                },
                failure = { errors += it },
            )
        }
        return if (errors.isEmpty()) Ok(found.values.map { it.second }) else Err(errors)
    }

    private fun filesOf(folder: Path): Result<List<Path>, SettingsError> =
        try {
            val files =
                Files.walk(folder).use { paths ->
                    paths
                        .asSequence()
                        .filter(::isServiceFile)
                        .sorted()
                        .toList()
                }
            if (files.isEmpty()) Err(folderError(folder, "the folder holds no .toml file")) else Ok(files)
        } catch (e: IOException) {
            Err(folderError(folder, "the folder cannot be read (${e.javaClass.simpleName})"))
        } catch (e: UncheckedIOException) {
            Err(folderError(folder, "a folder below it cannot be read (${e.cause?.javaClass?.simpleName})"))
        }

    private fun isServiceFile(path: Path) = Files.isRegularFile(path) && path.fileName.toString().endsWith(".toml")

    private fun folderError(
        folder: Path,
        problem: String,
    ) = SettingsError(folder.toString(), problem, "a folder with one .toml file for each service")

    private fun duplicate(
        file: Path,
        name: ServiceName,
        first: Path,
    ) = SettingsError(file.toString(), "the service '$name' is already in $first", "a name used by one file", "name")
}

private val modes = ServiceMode.entries.associateBy { it.name.lowercase() }
private val urgencies = Urgency.entries.associateBy { it.name.lowercase() }
private val methods = setOf("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")

private fun readService(table: TomlTable): ServiceSpec? {
    val name = table.text("name", ServiceRules.NAME_FORM, ServiceRules::isName)
    val team = table.text("team", ServiceRules.NAME_FORM, ServiceRules::isName)
    val target = readTarget(table)
    val mode = table.choice("mode", modes, ServiceMode.ANSWER)
    val urgency = table.choice("urgency", urgencies, Urgency.NORMAL)
    val deadlineMs = table.number("deadline_ms", ServiceRules.deadlineMs, "milliseconds")
    val firstTokenMs = table.number("first_token_ms", ServiceRules.deadlineMs, "milliseconds")
    val share = if (table.has("share")) table.optionalNumber("share", ServiceRules.share, "shares") else 1L
    val neverRepeat = table.tables("never_repeat").map { readRule(it) }
    if (name == null || team == null || target == null || mode == null || urgency == null) return null
    if (deadlineMs == null || firstTokenMs == null || share == null) return null
    val spec =
        ServiceSpec(
            ServiceName(name),
            TeamName(team),
            target,
            mode,
            urgency,
            firstTokenMs,
            deadlineMs,
            neverRepeat.filterNotNull(),
            share.toInt(),
        )
    ServiceRules.problems(spec).forEach { table.report(it.field, it.problem, it.accepted) }
    return spec
}

private fun readTarget(table: TomlTable): ServiceTarget? {
    val hasModel = table.has("model")
    val hasApplication = table.has("application")
    if (hasModel == hasApplication) {
        val problem = if (hasModel) "is set together with 'model'" else "and 'model' are both missing"
        return table.report("application", problem, "either model = \"...\" or application = \"...\"")
    }
    val key = if (hasModel) "model" else "application"
    val pool = table.text(key, ServiceRules.POOL_FORM, ServiceRules::isPool)?.let(::PoolName) ?: return null
    return if (hasModel) ServiceTarget.Model(pool) else ServiceTarget.Application(pool)
}

private fun readRule(table: TomlTable): RequestRule? {
    val method = table.optionalText("method", methods.joinToString(", ")) { it.uppercase() in methods }?.uppercase()
    val path = table.optionalText("path", "a path that begins with '/'") { it.startsWith("/") && ' ' !in it }
    val kind = table.optionalText("kind", ServiceRules.NAME_FORM, ServiceRules::isName)
    val isEmpty = !table.has("method") && !table.has("path") && !table.has("kind")
    if (isEmpty) {
        table.reportTable("selects nothing", "method, path or kind; path = \"/\" selects every request")
    }
    table.rejectUnknown()
    return if (isEmpty) null else RequestRule(method, path, kind)
}
