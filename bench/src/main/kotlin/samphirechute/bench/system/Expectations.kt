package samphirechute.bench.system

import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** What was expected and what came in its place. */
internal class Mismatch(
    message: String,
) : Exception(message)

/** [problem] returns what came when it was not what is expected, else null. */
internal fun expect(
    expected: String,
    problem: () -> String?,
) {
    problem()?.let { throw Mismatch("expected $expected, came ${it.replace('\n', ' ').take(MAX_SHOWN)}") }
}

internal fun expectEqual(
    what: String,
    expected: Any?,
    came: Any?,
) = expect("$what $expected") { if (expected == came) null else "$came" }

/** Polls until [problem] is null; what it returned last, or the error that it threw, is what came. */
internal fun await(
    expected: String,
    limitMs: Long = AWAIT_MS,
    problem: () -> String?,
) {
    val untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMs)
    while (true) {
        val seen = runCatching(problem).getOrElse { "$it" } ?: return
        expect("$expected within $limitMs ms") { seen.takeIf { System.nanoTime() >= untilNs } }
        pause(POLL_MS)
    }
}

internal fun pause(durationMs: Long) {
    CompletableFuture<Unit>().completeOnTimeout(Unit, durationMs, TimeUnit.MILLISECONDS).join()
}

private const val AWAIT_MS = 30_000L
private const val POLL_MS = 50L
private const val MAX_SHOWN = 300
