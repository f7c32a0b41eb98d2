package samphirechute.state.store

import samphirechute.state.command.ClaimKey
import samphirechute.state.command.ClaimResult
import samphirechute.state.command.ClaimState
import samphirechute.state.command.Claimant
import samphirechute.state.command.Command
import samphirechute.state.command.CommandResult

/*
 * The table of claims in section 3 of the design. A claim is given once; only a release by its own claimant, which has
 * sent nothing, makes the request free to run again before the claim expires.
 */

internal fun StoreState.claim(command: Command.ClaimRequest): Applied {
    if (isOutdated(command.claimant)) return rejected("stale_incarnation", "${command.claimant} has been restarted")
    val current = claims[command.key]
    if (current != null) return with(CommandResult.Claim(stateOf(current, command))) { noteLife(command.claimant) }
    if (command.deadlineMs > atMs + limits.maxClaimDeadlineMs) {
        return rejected("deadline_too_far", "the deadline is more than ${limits.maxClaimDeadlineMs} ms ahead")
    }
    if (command.deadlineMs + limits.claimGraceMs < atMs) {
        return rejected("deadline_passed", "the deadline passed before the claim was committed")
    }
    if (claims.size >= limits.maxClaims) return rejected("claims_full", "${limits.maxClaims} claims are kept")
    val record = ClaimRecord(command.key, command.bodyDigest, command.claimant, command.deadlineMs, atMs)
    return with(CommandResult.Claim(ClaimState.Accepted)) {
        noteLife(command.claimant).run { copy(claims = claims.put(command.key, record)) }
    }
}

/** A late outcome from the claimant itself replaces "unknown": it says more, and contradicts nothing. */
internal fun StoreState.finishClaim(command: Command.FinishClaim): Applied {
    val current = claims[command.key]
    if (current == null || current.claimant != command.claimant) return notHeld(command.key)
    if (current.result != null) return with(CommandResult.Done)
    val bytes = command.result.answerBytes()
    val isKept = bytes <= limits.maxAnswerBytes
    val result = if (isKept) command.result else command.result.copy(body = null)
    return with(CommandResult.Done) {
        val finished = copy(claims = claims.put(command.key, current.copy(result = result)))
        if (result.body == null) finished else finished.keepAnswer(command.key, bytes)
    }
}

internal fun StoreState.releaseClaim(command: Command.ReleaseClaim): Applied {
    val current = claims[command.key]
    if (current == null || current.claimant != command.claimant) return notHeld(command.key)
    if (current.result != null) return rejected("claim_finished", "the claim has an outcome")
    return with(CommandResult.Done) { copy(claims = claims.remove(command.key)) }
}

internal fun StoreState.recordIncarnation(claimant: Claimant): Applied =
    if (isOutdated(claimant)) {
        rejected("stale_incarnation", "$claimant has been restarted")
    } else {
        with(CommandResult.Done) { noteLife(claimant) }
    }

/** True when a later life of the same instance has been seen. */
internal fun StoreState.isOutdated(claimant: Claimant) =
    claimant.incarnation < (incarnations[claimant.instance] ?: Long.MIN_VALUE)

internal fun StoreState.noteLife(claimant: Claimant): StoreState {
    if (incarnations[claimant.instance] == claimant.incarnation) return this
    val others = incarnations.remove(claimant.instance)
    val room = if (others.size < limits.maxIncarnations) others else others.remove(others.keys.first())
    return copy(incarnations = room.put(claimant.instance, claimant.incarnation))
}

/** Removes a claim together with the count of its kept answer. */
internal fun StoreState.dropClaim(record: ClaimRecord): StoreState {
    val isKept = record.key in keptAnswers
    return copy(
        claims = claims.remove(record.key),
        keptAnswers = if (isKept) keptAnswers.remove(record.key) else keptAnswers,
        keptAnswerBytes = if (isKept) keptAnswerBytes - record.result.answerBytes() else keptAnswerBytes,
    )
}

internal fun ClaimResult?.answerBytes(): Int = this?.body?.encodeToByteArray()?.size ?: 0

private fun StoreState.stateOf(
    record: ClaimRecord,
    command: Command.ClaimRequest,
): ClaimState {
    val result = record.result
    val claimant = record.claimant
    val isRestarted = isOutdated(claimant) || isOlderThan(claimant, command.claimant)
    return when {
        record.bodyDigest != command.bodyDigest -> ClaimState.OtherBody
        result != null && result.isUnknown -> ClaimState.Unknown
        result != null -> ClaimState.Finished(result)
        isRestarted || atMs > record.deadlineMs + limits.claimGraceMs -> ClaimState.Unknown
        else -> ClaimState.Running(claimant, record.deadlineMs)
    }
}

private fun isOlderThan(
    claimant: Claimant,
    other: Claimant,
) = claimant.instance == other.instance && claimant.incarnation < other.incarnation

private fun StoreState.keepAnswer(
    key: ClaimKey,
    bytes: Int,
): StoreState {
    var next = copy(keptAnswers = keptAnswers.add(key), keptAnswerBytes = keptAnswerBytes + bytes)
    while (next.keptAnswerBytes > limits.maxKeptAnswerBytes) next = next.forgetOldestAnswer()
    return next
}

private fun StoreState.forgetOldestAnswer(): StoreState {
    val key = keptAnswers.first()
    val record = claims.getValue(key)
    return copy(
        claims = claims.put(key, record.copy(result = record.result?.copy(body = null))),
        keptAnswers = keptAnswers.remove(key),
        keptAnswerBytes = keptAnswerBytes - record.result.answerBytes(),
    )
}

private fun StoreState.notHeld(key: ClaimKey) =
    rejected("claim_not_held", "the claim of ${key.requestId} is held by another claimant or has expired")
