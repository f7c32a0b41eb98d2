package samphirechute.state.store

import samphirechute.state.command.ClaimKey
import samphirechute.state.command.ClaimResult
import samphirechute.state.command.ClaimState
import samphirechute.state.command.Claimant
import samphirechute.state.command.Command
import samphirechute.state.command.CommandResult

/*
 * The commands on claims, as in the table of claims in section 3 of the design. StoreState.apply calls these functions.
 *
 * A claim is given once. Before it expires, the request can be claimed again only after a release by the claimant
 * itself, which means that the claimant has sent nothing to an upstream.
 */

/**
 * Gives the claim to the claimant, or returns the state of the existing claim. An existing claim is returned before the
 * deadline and the limits are checked, so that a late resend still gets the outcome.
 */
internal fun StoreState.claim(command: Command.ClaimRequest): Applied {
    if (isStale(command.claimant)) return rejected("stale_incarnation", "${command.claimant} has been restarted")
    val current = claims[command.key]
    if (current != null) return applied(CommandResult.Claim(stateOf(current, command))) { register(command.claimant) }
    if (command.deadlineMs > atMs + limits.maxClaimDeadlineMs) {
        return rejected("deadline_too_far", "the deadline is more than ${limits.maxClaimDeadlineMs} ms ahead")
    }
    if (command.deadlineMs + limits.claimGraceMs < atMs) {
        return rejected("deadline_passed", "the deadline passed before the claim was committed")
    }
    if (claims.size >= limits.maxClaims) return rejected("claims_full", "${limits.maxClaims} claims are kept")
    val record = ClaimRecord(command.key, command.bodyDigest, command.claimant, command.deadlineMs, atMs)
    return applied(CommandResult.Claim(ClaimState.Accepted)) {
        register(command.claimant).run { copy(claims = claims.put(command.key, record)) }
    }
}

/**
 * Records the outcome of a claim. The claimant may do so late, when a resend has already been answered with "unknown":
 * the outcome is more precise and does not contradict that answer.
 */
internal fun StoreState.finishClaim(command: Command.FinishClaim): Applied {
    val current = claims[command.key]
    if (current == null || current.claimant != command.claimant) return rejectNotHeld(command.key)
    if (current.result != null) return applied(CommandResult.Done)
    val bytes = command.result.answerBytes()
    val isKept = bytes <= limits.maxAnswerBytes
    val result = if (isKept) command.result else command.result.copy(body = null)
    return applied(CommandResult.Done) {
        val finished = copy(claims = claims.put(command.key, current.copy(result = result)))
        if (result.body == null) finished else finished.retainAnswer(command.key, bytes)
    }
}

internal fun StoreState.releaseClaim(command: Command.ReleaseClaim): Applied {
    val current = claims[command.key]
    if (current == null || current.claimant != command.claimant) return rejectNotHeld(command.key)
    if (current.result != null) return rejected("claim_finished", "the claim has an outcome")
    return applied(CommandResult.Done) { copy(claims = claims.remove(command.key)) }
}

internal fun StoreState.recordIncarnation(claimant: Claimant): Applied =
    if (isStale(claimant)) {
        rejected("stale_incarnation", "$claimant has been restarted")
    } else {
        applied(CommandResult.Done) { register(claimant) }
    }

/** True if a later incarnation of the same instance is known. */
internal fun StoreState.isStale(claimant: Claimant) =
    claimant.incarnation < (incarnations[claimant.instance] ?: Long.MIN_VALUE)

/** Records the incarnation of [claimant] as the latest known of its instance. */
internal fun StoreState.register(claimant: Claimant): StoreState {
    if (incarnations[claimant.instance] == claimant.incarnation) return this
    val remaining = incarnations.remove(claimant.instance)
    val trimmed = if (remaining.size < limits.maxIncarnations) remaining else remaining.remove(remaining.keys.first())
    return copy(incarnations = trimmed.put(claimant.instance, claimant.incarnation))
}

/** Removes a claim and subtracts its kept answer from the total. */
internal fun StoreState.removeClaim(record: ClaimRecord): StoreState {
    val isKept = record.key in keptAnswers
    return copy(
        claims = claims.remove(record.key),
        keptAnswers = if (isKept) keptAnswers.remove(record.key) else keptAnswers,
        keptAnswerBytes = if (isKept) keptAnswerBytes - record.result.answerBytes() else keptAnswerBytes,
    )
}

internal fun ClaimResult?.answerBytes(): Int = this?.body?.encodeToByteArray()?.size ?: 0

/**
 * The state of an existing claim, as reported to the sender of [command]. A running claim becomes unknown when its
 * claimant has restarted or its deadline and the grace period have passed.
 */
private fun StoreState.stateOf(
    record: ClaimRecord,
    command: Command.ClaimRequest,
): ClaimState {
    val result = record.result
    val claimant = record.claimant
    val isRestarted = isStale(claimant) || isEarlierIncarnation(claimant, command.claimant)
    return when {
        record.bodyDigest != command.bodyDigest -> ClaimState.OtherBody
        result != null && result.isUnknown -> ClaimState.Unknown
        result != null -> ClaimState.Finished(result)
        isRestarted || atMs > record.deadlineMs + limits.claimGraceMs -> ClaimState.Unknown
        else -> ClaimState.Running(claimant, record.deadlineMs)
    }
}

private fun isEarlierIncarnation(
    claimant: Claimant,
    other: Claimant,
) = claimant.instance == other.instance && claimant.incarnation < other.incarnation

private fun StoreState.retainAnswer(
    key: ClaimKey,
    bytes: Int,
): StoreState {
    var next = copy(keptAnswers = keptAnswers.add(key), keptAnswerBytes = keptAnswerBytes + bytes)
    while (next.keptAnswerBytes > limits.maxKeptAnswerBytes) next = next.dropOldestAnswer()
    return next
}

private fun StoreState.dropOldestAnswer(): StoreState {
    val key = keptAnswers.first()
    val record = claims.getValue(key)
    return copy(
        claims = claims.put(key, record.copy(result = record.result?.copy(body = null))),
        keptAnswers = keptAnswers.remove(key),
        keptAnswerBytes = keptAnswerBytes - record.result.answerBytes(),
    )
}

private fun StoreState.rejectNotHeld(key: ClaimKey) =
    rejected("claim_not_held", "the claim of ${key.requestId} is held by another claimant or has expired")
