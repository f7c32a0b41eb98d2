package samphirechute.serving.cluster

import kotlinx.serialization.Serializable
import samphirechute.state.store.AdoptedConfig
import java.io.ByteArrayOutputStream
import java.util.Base64
import java.util.zip.CRC32
import java.util.zip.DataFormatException
import java.util.zip.Deflater
import java.util.zip.Inflater

/**
 * A configuration in compressed form, as it is stored and sent between instances. Hundreds of instances fetch every
 * revision; the content repeats names, so it shrinks to about a tenth.
 */
@Serializable
data class PackedConfig(
    val revision: Long,
    /** The content in UTF-8, deflated, in Base64. */
    val packed: String,
) {
    /** Identifies the content in log lines. Operators may send other content under the same revision. */
    val digest: String get() = digestOf(packed)

    /** The configuration, or null when it is damaged or larger than any that is accepted. */
    fun unpack(): AdoptedConfig? {
        val out = ByteArrayOutputStream()
        val inflater = Inflater()
        try {
            inflater.setInput(Base64.getDecoder().decode(packed))
            val buffer = ByteArray(BUFFER_BYTES)
            while (!inflater.finished()) {
                val count = inflater.inflate(buffer)
                if (count == 0 || out.size() + count > MAX_BYTES) return null
                out.write(buffer, 0, count)
            }
        } catch (_: DataFormatException) {
            return null
        } catch (_: IllegalArgumentException) {
            return null
        } finally {
            inflater.end()
        }
        return AdoptedConfig(revision, out.toString(Charsets.UTF_8))
    }

    companion object {
        private const val BUFFER_BYTES = 16 * 1024

        /** Control instances accept bodies of up to 8 MiB. */
        private const val MAX_BYTES = 8 * 1024 * 1024

        /** The [digest] of content in packed form. */
        fun digestOf(packed: String): String = "%08x".format(CRC32().apply { update(packed.encodeToByteArray()) }.value)

        /** Compresses a configuration. */
        fun of(config: AdoptedConfig): PackedConfig {
            val out = ByteArrayOutputStream()
            val deflater = Deflater(Deflater.BEST_SPEED)
            deflater.setInput(config.content.encodeToByteArray())
            deflater.finish()
            val buffer = ByteArray(BUFFER_BYTES)
            while (!deflater.finished()) out.write(buffer, 0, deflater.deflate(buffer))
            deflater.end()
            return PackedConfig(config.revision, Base64.getEncoder().encodeToString(out.toByteArray()))
        }
    }
}
