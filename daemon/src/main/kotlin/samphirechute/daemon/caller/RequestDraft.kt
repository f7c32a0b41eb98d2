package samphirechute.daemon.caller

import samphirechute.core.RequestId
import samphirechute.core.service.ServiceSpec
import samphirechute.net.ServerRequest
import samphirechute.routing.PromptPrefix

/** What the filters have found out about a request so far. Each filter returns a copy that knows more. */
internal data class RequestDraft(
    val source: ServerRequest,
    val form: AnswerForm = AnswerForm.PassThrough,
    val serviceName: String = "",
    val spec: ServiceSpec? = null,
    val path: String = "",
    val uri: String = "",
    val prompt: String = "",
    val maxTokens: Long = 0,
    val promptTokens: Long = 0,
    val prefixes: List<PromptPrefix> = emptyList(),
    val requestId: RequestId = RequestId(""),
    val isNonRepeatable: Boolean = false,
    val deadlineMs: Long = 0,
) {
    /** The service, once the service filter has passed. */
    val service: ServiceSpec get() = checkNotNull(spec) { "the service filter has not run" }
}
