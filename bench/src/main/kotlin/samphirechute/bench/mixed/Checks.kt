package samphirechute.bench.mixed

import samphirechute.bench.system.Mismatch

/** Prints a line for each check and counts them. */
internal class Checks {
    var passed = 0
        private set
    var failed = 0
        private set

    /** Runs a check that returns what it saw; false when it failed, for checks that build on it. */
    fun check(
        name: String,
        action: () -> String,
    ): Boolean {
        val seen = runCatching(action)
        seen.fold({ println("ok $name $it".trimEnd()) }) { println("FAILED $name: ${describe(it)}") }
        if (seen.isSuccess) passed++ else failed++
        return seen.isSuccess
    }

    private fun describe(error: Throwable) = if (error is Mismatch) error.message else "expected no error, came $error"
}
