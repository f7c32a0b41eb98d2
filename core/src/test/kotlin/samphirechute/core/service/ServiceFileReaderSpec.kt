package samphirechute.core.service

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir
import samphirechute.core.PoolName
import samphirechute.core.ServiceName
import samphirechute.core.TeamName
import java.nio.file.Path
import kotlin.io.path.createDirectory
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertEquals

class ServiceFileReaderSpec {
    private val base = listOf("name = \"a\"", "team = \"t\"", "model = \"m\"", "first_token_ms = 5", "deadline_ms = 9")

    /** Returns the error messages for [base] without the line of the key [replaced] and with [added] as last lines. */
    private fun messages(
        replaced: String,
        added: String,
    ): List<String> {
        val text = (base.filter { !it.startsWith("$replaced =") } + added).joinToString("\n")
        return ServiceFileReader.parse("s.toml", text).fold({ emptyList() }, { errors -> errors.map { it.message } })
    }

    @Nested
    inner class Accepted {
        /** Guards against a field that is ignored or read into the wrong property. */
        @Test
        fun `all fields of a full file are read`() {
            val text =
                """
                name = "orders"
                team = "t"
                application = "shop"
                urgency = "interactive"
                first_token_ms = 100
                deadline_ms = 200
                share = 3
                [[never_repeat]]
                method = "post"
                path = "/orders"
                [[never_repeat]]
                kind = "order"
                """.trimIndent()
            val rules = listOf(RequestRule("POST", "/orders"), RequestRule(kind = "order"))
            val target = ServiceTarget.Application(PoolName("shop"))
            val mode = ServiceMode.ANSWER
            val expected =
                ServiceSpec(ServiceName("orders"), TeamName("t"), target, mode, Urgency.INTERACTIVE, 100, 200, rules, 3)
            assertEquals(expected, ServiceFileReader.parse("s.toml", text).getOrElse { error(it) })
        }

        /** Guards against defaults that differ from the documented ones. */
        @Test
        fun `a file without optional fields gets the documented defaults`() {
            val spec = ServiceFileReader.parse("s.toml", base.joinToString("\n")).getOrElse { error(it) }
            assertEquals(listOf(ServiceMode.ANSWER, Urgency.NORMAL, 1), listOf(spec.mode, spec.urgency, spec.share))
        }
    }

    @Nested
    inner class Refused {
        /** Guards against invalid files that are accepted, or rejected without file, line, field and accepted form. */
        @Test
        fun `each fault is one error with its position and the accepted form`() {
            val rows =
                listOf(
                    Triple("name", "", "s.toml, field 'name': is missing; accepted: 1 to 63"),
                    Triple(
                        "name",
                        "name = \"Big\"",
                        "s.toml, line 5, field 'name': has the value \"Big\"; accepted: 1",
                    ),
                    Triple("name", "name = 5", "s.toml, line 5, field 'name': is not a string"),
                    Triple("model", "", "s.toml, field 'application': and 'model' are both missing"),
                    Triple(
                        "x",
                        "application = \"b\"",
                        "s.toml, line 6, field 'application': is set together with 'model'",
                    ),
                    Triple("model", "model = \"a b\"", "s.toml, line 5, field 'model': has the value"),
                    Triple(
                        "x",
                        "mode = \"fast\"",
                        "s.toml, line 6, field 'mode': has the value \"fast\"; accepted: \"ans",
                    ),
                    Triple(
                        "x",
                        "urgency = \"high\"",
                        "s.toml, line 6, field 'urgency': has the value \"high\"; accepted",
                    ),
                    Triple("deadline_ms", "deadline_ms = 0", "s.toml, line 5, field 'deadline_ms': has the value 0"),
                    Triple("deadline_ms", "deadline_ms = 1.5", "field 'deadline_ms': is not a whole number"),
                    Triple("deadline_ms", "deadline_ms = 99999999999999999999", "field 'deadline_ms': has the value"),
                    Triple("deadline_ms", "deadline_ms = 4", "line 4, field 'first_token_ms': is beyond the deadline"),
                    Triple(
                        "x",
                        "share = 0",
                        "s.toml, line 6, field 'share': has the value 0; accepted: a whole number of",
                    ),
                    Triple(
                        "x",
                        "sahre = 1",
                        "s.toml, line 6, field 'sahre': is not a known key; accepted: did you mean 'sh",
                    ),
                    Triple("x", "colour = 1", "field 'colour': is not a known key; accepted: application, deadline_ms"),
                    Triple("x", "never_repeat = 1", "field 'never_repeat': is not an array of tables"),
                    Triple(
                        "x",
                        "[[never_repeat]]",
                        "line 6, field 'never_repeat[0]': selects nothing; accepted: method",
                    ),
                    Triple(
                        "x",
                        "[[never_repeat]]\npath = \"x\"",
                        "line 7, field 'never_repeat[0].path': has the value",
                    ),
                    Triple(
                        "x",
                        "[[never_repeat]]\nkind = \"k\"\nmetod = \"GET\"",
                        "line 8, field 'never_repeat[0].metod'",
                    ),
                    Triple(
                        "x",
                        "mode = \"document\"\n[[never_repeat]]\nkind = \"k\"",
                        "field 'never_repeat': is given for a",
                    ),
                    Triple(
                        "model",
                        "application = \"b\"\nmode = \"document\"",
                        "field 'mode': is \"document\" without a",
                    ),
                    Triple("x", "name = \"again\"", "s.toml, line 6: Duplicate key; accepted: a TOML 1.0"),
                    Triple("x", "urgency = ", "s.toml, line 6: "),
                )
            for ((replaced, added, expected) in rows) {
                val messages = messages(replaced, added)
                assertEquals(1, messages.size, "$added gives $messages")
                assertEquals(true, expected in messages.single(), "$added gives $messages")
            }
        }

        /** Guards against reporting only the first error, so that an operator has to fix a file one error at a time. */
        @Test
        fun `all faults of a file are reported`() {
            assertEquals(3, messages("name", "urgency = 1\nshare = \"x\"").size)
        }
    }

    @Nested
    inner class Folders {
        @TempDir
        lateinit var folder: Path

        private fun errors(vararg folders: Path) = ServiceFileReader.readFolders(folders.toList()).getError().orEmpty()

        private fun write(name: String) = folder.resolve(name).apply { writeText(base.joinToString("\n")) }

        /** Guards against a check that stops at the first invalid file, or misses one in a subfolder. */
        @Test
        fun `all files are read and all errors are reported`() {
            val below = folder.resolve("below").createDirectory()
            write("a.toml")
            folder.resolve("b.toml").writeText("name = ")
            below.resolve("c.toml").writeText(base.drop(1).joinToString("\n"))
            folder.resolve("notes.txt").writeText("not a service")
            val files = errors(folder, below).map { Path.of(it.file).fileName.toString() }
            assertEquals(listOf("b.toml", "c.toml"), files)
        }

        /** Guards against two files with the same service name, of which only one would take effect. */
        @Test
        fun `a name used twice is rejected, and the error names both files`() {
            val first = write("a.toml")
            val second = write("b.toml")
            val error = errors(folder).single()
            assertEquals("the service 'a' is already in $first", error.problem)
            assertEquals("$second", error.file)
        }

        /** Guards against a mistyped folder that publishes an empty set, or only the services of other folders. */
        @Test
        fun `an empty or missing folder is rejected`() {
            val absent = folder.resolve("absent")
            assertEquals(2, errors(folder, absent).size)
            write("a.toml")
            assertEquals(listOf("$absent"), errors(folder, absent).map { it.file })
        }
    }
}
