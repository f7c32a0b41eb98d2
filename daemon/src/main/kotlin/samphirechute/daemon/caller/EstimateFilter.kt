package samphirechute.daemon.caller

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import samphirechute.core.engine.PrefixHash
import samphirechute.daemon.http.RequestError
import samphirechute.routing.PromptPrefix

/** Estimates the tokens of a prompt and hashes its prefixes. A request to an application counts as one token. */
internal class EstimateFilter : RequestFilter {
    override fun apply(draft: RequestDraft): Result<RequestDraft, RequestError> {
        if (draft.form !is AnswerFormat.Completion) return Ok(draft.copy(promptTokens = 1, maxTokens = 1))
        val bytes = draft.prompt.encodeToByteArray()
        val prefixes = PrefixHash.of(bytes).map { (tokens, hash) -> PromptPrefix(hash, tokens) }
        return Ok(draft.copy(promptTokens = PrefixHash.tokens(bytes.size.toLong()), prefixes = prefixes))
    }
}
