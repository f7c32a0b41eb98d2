package samphirechute.core.settings

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import java.nio.file.Path
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse

private const val KEY = "0123456789abcdef"

class SettingsReaderSpec {
    @TempDir
    lateinit var folder: Path

    private val head = "instance = \"i1\"\nfailure_domain = \"a\"\nlisten = \"127.0.0.1:1\"\n"
    private val store = "[store]\ndata_folder = \"data\"\n"
    private val keys = "[keys]\npeer = \"$KEY\"\nupstream = \"$KEY\"\noperator = \"$KEY\"\n"

    private fun peer(
        instance: String,
        port: Int,
        rest: String = "",
    ) = "[[peers]]\ninstance = \"$instance\"\nfailure_domain = \"a\"\naddress = \"127.0.0.1:$port\"\n$rest\n"

    private fun read(text: String) = SettingsReader.parse("d.toml", text, folder)

    private fun messages(text: String) = read(text).fold({ emptyList() }, { errors -> errors.map { it.message } })

    @Nested
    inner class Accepted {
        /** Guards against a field read into the wrong property, and a path resolved against the working directory. */
        @Test
        fun `all fields of a full file are read`() {
            folder.resolve("peer.key").writeText("$KEY\n")
            val text =
                head + "[limits]\nmax_connections = 7\n" + store + "[keys]\noperator = \"$KEY\"\n" +
                    "peer = { file = \"peer.key\" }\n" + peer("i1", 1, "store = true") + peer("i2", 2)
            val settings = read(text).getOrElse { error(it) }
            assertEquals(StoreSettings(folder.resolve("data")), settings.store)
            assertEquals(AccessKeys(peer = KEY, operator = KEY), settings.keys)
            assertEquals(LimitSettings(maxConnections = 7), settings.limits)
            assertEquals(
                listOf(InstanceId("i1") to true, InstanceId("i2") to false),
                settings.peers.map {
                    it.instance to
                        it.isStore
                },
            )
            assertEquals(HostPort("127.0.0.1", 2), settings.peers.last().address)
        }

        /** Guards against rejecting addresses other than loopback although the keys are set. */
        @Test
        fun `listening on an address other than loopback is accepted with keys`() {
            for (address in listOf("10.0.0.5:7101", "[fd00::5]:7101")) {
                assertEquals(emptyList(), messages(head.replace("127.0.0.1:1", address) + store + keys))
            }
        }
    }

    @Nested
    inner class Refused {
        /** Guards against settings that are accepted although they violate a rule, and errors without position. */
        @Test
        fun `each violated rule is reported with its position and the accepted form`() {
            val rows =
                listOf(
                    head.replace("127.0.0.1", "localhost") + store to "line 3, field 'listen': has the value",
                    head.replace("127.0.0.1", "127.0.0.256") + store to "line 3, field 'listen': has the value",
                    head.replace("127.0.0.1", "0.0.0.0") + store to "line 3, field 'listen': has the value",
                    head.replace("0.1:1", "0.1:0") + store to "line 3, field 'listen': has the value",
                    head.replace("127.0.0.1", "10.0.0.5") + store + keys.replace("operator", "#") to
                        "line 6, field 'keys.operator': is missing although 'listen' is not loopback; accepted: a key",
                    head to "field 'peers': has no store member",
                    head + store + peer("i2", 2) + peer("i2", 3) to
                        "line 12, field 'peers[1].instance': repeats instance 'i2'",
                    head + store + peer("i2", 2) + peer("i3", 2) to
                        "line 14, field 'peers[1].address': repeats address 127",
                    head + store + peer("i2", 1) to "line 9, field 'peers[0].address': is the address of this instance",
                    head + store + peer("i1", 2, "store = true") to "field 'peers[0].address': differs from 'listen'",
                    head + store + peer("i1", 1) to "field 'peers[0].store': differs from the table 'store'",
                    head + peer("i1", 1, "store = true") + peer("i2", 2, "store = true") to
                        "field 'peers[0].store': dif",
                    head + (2..9).joinToString("") { peer("i$it", it, "store = true") } to "has 8 store members",
                    head + store + peer("i2", 2, "sotre = true") to
                        "line 10, field 'peers[0].sotre': is not a known key",
                    head + store + "data_floder = \"x\"" to "did you mean 'data_folder'?",
                    head + store + "[limit]\n" to
                        "line 6, field 'limit': is not a known key; accepted: did you mean 'lim",
                    head + store + "[limits]\nmax_buffered_bytes = 2000" to
                        "'limits.max_buffered_bytes': is lower than max",
                    head + store + "[limits]\nstop_limit_ms = -1" to
                        "line 7, field 'limits.stop_limit_ms': has the value",
                    head + store + "[keys]\npeer = { file = \"none\" }" to "'keys.peer': there is no such file: none",
                    head + store + "[keys]\npeer = { fiel = \"none\" }" to "'keys.peer.file': is missing",
                    head + store + "[keys]\npeer = 5" to "line 7, field 'keys.peer': is not a string",
                )
            for ((text, expected) in rows) {
                val messages = messages(text)
                assertEquals(true, messages.any { expected in it }, "$text gives $messages")
                assertEquals(true, messages.size <= 2, "$text gives $messages")
            }
        }
    }

    @Nested
    inner class Secrecy {
        /** Guards against access keys that leak through an error message or the printed settings. */
        @Test
        fun `neither errors nor the effective settings contain a key`() {
            val secret = "short secret"
            val error = messages(head + store + "[keys]\npeer = \"$secret\"").single()
            assertEquals(true, "line 7, field 'keys.peer': is not a valid key" in error, error)
            assertFalse(secret in error, error)
            val settings = read(head + store + "[keys]\npeer = \"$KEY\"\n" + peer("i2", 2)).getOrElse { error(it) }
            val shown = settings.effective()
            assertFalse(KEY in shown || KEY in settings.toString(), shown)
            for (part in listOf("(set, not shown)", "(not set)", "127.0.0.1:2", "stop_limit_ms = 600000")) {
                assertEquals(true, part in shown, "$part in $shown")
            }
        }
    }
}
