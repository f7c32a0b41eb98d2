package samphirechute.core.toml

import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.node.ObjectNode
import com.fasterxml.jackson.dataformat.toml.TomlMapper
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import samphirechute.core.settings.SettingsError
import java.io.IOException
import java.nio.charset.CharacterCodingException
import java.nio.file.Files
import java.nio.file.Path

/**
 * A TOML file and the errors found in it so far. The readers of settings and of service files call [readText] and
 * [parse], and get the fields from a [TomlTable].
 */
class TomlSource(
    private val file: String,
    text: String,
) {
    private val lines = KeyLines(text)
    private val found = mutableListOf<SettingsError>()

    val errors: List<SettingsError> get() = found

    fun report(
        path: String?,
        problem: String,
        accepted: String,
    ) {
        found += SettingsError(file, problem, accepted, path, path?.let(lines::lineOf))
    }

    companion object {
        private const val ACCEPTED = "a TOML 1.0 file in UTF-8 of at most 256 KiB"

        /** Settings and service files are far smaller; the limit keeps a wrong path from exhausting the heap. */
        private const val MAX_BYTES = 256 * 1024L
        private val mapper = TomlMapper()

        fun readText(file: Path): Result<String, SettingsError> {
            val name = file.toString()
            return try {
                when {
                    !Files.isRegularFile(file) -> Err(SettingsError(name, "there is no such file", ACCEPTED))
                    Files.size(file) > MAX_BYTES -> Err(SettingsError(name, "the file is too large", ACCEPTED))
                    else -> Ok(Files.readString(file))
                }
            } catch (e: CharacterCodingException) {
                Err(SettingsError(name, "the file is not UTF-8 text", ACCEPTED))
            } catch (e: IOException) {
                Err(SettingsError(name, "the file cannot be read (${e.javaClass.simpleName})", ACCEPTED))
            }
        }

        /** Parses [text] and passes its root table to [read]. Returns the value of [read] if no error was reported. */
        fun <T : Any> parse(
            file: String,
            text: String,
            read: (TomlTable) -> T?,
        ): Result<T, List<SettingsError>> {
            val root =
                try {
                    mapper.readTree(text) as ObjectNode
                } catch (e: JsonProcessingException) {
                    val line = e.location?.lineNr?.takeIf { it > 0 }
                    val problem = e.originalMessage.lineSequence().first()
                    return Err(listOf(SettingsError(file, problem, ACCEPTED, line = line)))
                }
            val source = TomlSource(file, text)
            val table = TomlTable(root, "", source)
            val value = read(table)
            table.rejectUnknown()
            return if (value != null && source.errors.isEmpty()) Ok(value) else Err(source.errors)
        }
    }
}
