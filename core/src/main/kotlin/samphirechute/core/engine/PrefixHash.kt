package samphirechute.core.engine

import java.nio.ByteBuffer
import java.security.MessageDigest

/**
 * Hashes prefixes of a prompt the way engines publish them in [PrefixEvent]: the first eight bytes of SHA-256 over the
 * first 1,024 tokens, the first 4,096 and so on, each prefix four times as long as the one before. A token is taken
 * to be [BYTES_PER_TOKEN] bytes of UTF-8.
 */
object PrefixHash {
    const val BYTES_PER_TOKEN = 4
    private const val FIRST_TOKENS = 1_024L
    private const val GROWTH = 4

    /** Estimates the tokens of a text of [bytes] bytes of UTF-8, without the tokenizer of the model. */
    fun tokens(bytes: Long): Long = (bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN

    /** Returns pairs of prefix length in tokens and hash, shortest first; empty for prompts below 1,024 tokens. */
    fun of(prompt: ByteArray): List<Pair<Long, Long>> {
        val digest = MessageDigest.getInstance("SHA-256")
        val hashes = mutableListOf<Pair<Long, Long>>()
        var tokens = FIRST_TOKENS
        var hashedBytes = 0
        while (tokens * BYTES_PER_TOKEN <= prompt.size) {
            val endBytes = (tokens * BYTES_PER_TOKEN).toInt()
            digest.update(prompt, hashedBytes, endBytes - hashedBytes)
            hashedBytes = endBytes
            val copy = digest.clone() as MessageDigest
            hashes += tokens to ByteBuffer.wrap(copy.digest()).long
            tokens *= GROWTH
        }
        return hashes
    }
}
