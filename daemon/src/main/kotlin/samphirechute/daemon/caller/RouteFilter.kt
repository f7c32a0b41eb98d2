package samphirechute.daemon.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import samphirechute.core.api.ApiHeaders
import samphirechute.core.api.ApiPaths
import samphirechute.daemon.http.RequestError

/** Determines the called service from path, header or body, and parses the body of completions. */
internal class RouteFilter : RequestFilter {
    override fun apply(draft: RequestDraft): Result<RequestDraft, RequestError> {
        val path = draft.source.path
        return when {
            path == ApiPaths.COMPLETIONS -> completion(draft, isChat = false)
            path == ApiPaths.CHAT_COMPLETIONS -> completion(draft, isChat = true)
            path.startsWith(ApiPaths.SERVICES_PREFIX) -> Ok(passThrough(draft))
            else -> Err(RequestError.UnknownPath(path))
        }
    }

    private fun completion(
        draft: RequestDraft,
        isChat: Boolean,
    ): Result<RequestDraft, RequestError> {
        if (draft.source.method != "POST") return Err(RequestError.WrongMethod("POST"))
        return CompletionBody.parse(draft.source.body, isChat).map { body ->
            draft.copy(
                form = AnswerFormat.Completion(isChat, body.isStream, body.model),
                serviceName = draft.source.header(ApiHeaders.SERVICE) ?: body.model,
                path = draft.source.path,
                uri = draft.source.uri,
                prompt = body.prompt,
                maxTokens = body.maxTokens,
            )
        }
    }

    private fun passThrough(draft: RequestDraft): RequestDraft {
        val remainder = draft.source.uri.removePrefix(ApiPaths.SERVICES_PREFIX)
        val name = remainder.takeWhile { it != '/' && it != '?' }
        val uri = remainder.removePrefix(name).let { if (it.startsWith("/")) it else "/$it" }
        return draft.copy(serviceName = name, path = uri.substringBefore('?'), uri = uri)
    }
}
