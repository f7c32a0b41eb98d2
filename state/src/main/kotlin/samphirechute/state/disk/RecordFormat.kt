package samphirechute.state.disk

import java.io.DataInputStream
import java.io.InputStream
import java.nio.ByteBuffer
import java.util.zip.CRC32C

/*
 * The record format of log and snapshot files. A record consists of a magic number, the payload length and a CRC32C
 * checksum of four bytes each, and the payload. The checksum covers the length as well as the payload. The magic number
 * allows a reader to search for valid records after a damaged one.
 */

internal const val HEADER_BYTES = 12
private const val MAGIC = 0x53_43_4C_31
private const val MAX_RECORD_BYTES = 256 * 1024 * 1024

internal fun encodeRecord(payload: ByteArray): ByteArray {
    val buffer = ByteBuffer.allocate(HEADER_BYTES + payload.size)
    buffer
        .putInt(MAGIC)
        .putInt(payload.size)
        .putInt(checksum(payload.size, payload, 0))
        .put(payload)
    return buffer.array()
}

/** The result of reading a record at one offset. */
internal sealed class ScannedRecord {
    data class Valid(
        val payload: ByteArray,
    ) : ScannedRecord()

    data class Damaged(
        val problem: String,
    ) : ScannedRecord()
}

internal fun scanRecord(
    bytes: ByteArray,
    offset: Int,
): ScannedRecord {
    if (bytes.size - offset < HEADER_BYTES) return ScannedRecord.Damaged("the header is incomplete")
    val header = ByteBuffer.wrap(bytes, offset, HEADER_BYTES)
    if (header.int != MAGIC) return ScannedRecord.Damaged("the magic number is wrong")
    val length = header.int
    val crc = header.int
    val start = offset + HEADER_BYTES
    if (length < 0 || length > bytes.size - start) return ScannedRecord.Damaged("the record is incomplete")
    if (crc != checksum(length, bytes, start)) return ScannedRecord.Damaged("the checksum does not match")
    return ScannedRecord.Valid(bytes.copyOfRange(start, start + length))
}

/** The offset of the next valid record after [offset], or null. */
internal fun findRecordAfter(
    bytes: ByteArray,
    offset: Int,
): Int? =
    (offset + 1..bytes.size - HEADER_BYTES).firstOrNull {
        bytes[it] == FIRST_MAGIC_BYTE && scanRecord(bytes, it) is ScannedRecord.Valid
    }

/** The payloads of a file in which every record must be complete. */
internal fun readRecords(
    file: String,
    input: InputStream,
): Sequence<ByteArray> =
    sequence {
        val data = DataInputStream(input)
        var offset = 0L
        while (true) {
            val header = data.readNBytes(HEADER_BYTES)
            if (header.isEmpty()) break
            if (header.size < HEADER_BYTES) throw DiskError.Corrupt(file, offset, "the header is incomplete")
            val buffer = ByteBuffer.wrap(header)
            val magic = buffer.int
            val length = buffer.int
            if (magic != MAGIC || length !in 0..MAX_RECORD_BYTES) {
                throw DiskError.Corrupt(file, offset, "the magic number or the length is wrong")
            }
            val payload = data.readNBytes(length)
            val isWhole = payload.size == length && buffer.int == checksum(length, payload, 0)
            if (!isWhole) throw DiskError.Corrupt(file, offset, "the checksum does not match")
            yield(payload)
            offset += HEADER_BYTES + length
        }
    }

private const val FIRST_MAGIC_BYTE = (MAGIC ushr 24).toByte()

private fun checksum(
    length: Int,
    bytes: ByteArray,
    start: Int,
): Int {
    val crc = CRC32C()
    crc.update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(length).flip())
    crc.update(bytes, start, length)
    return crc.value.toInt()
}
