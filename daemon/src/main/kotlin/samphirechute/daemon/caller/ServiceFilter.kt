package samphirechute.daemon.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import samphirechute.core.ServiceName
import samphirechute.core.api.ApiHeaders
import samphirechute.core.service.ServiceSpec
import samphirechute.core.service.ServiceTarget
import samphirechute.daemon.http.RequestError

/** Looks up the service in the configuration in force, and checks that its team and target match the request. */
internal class ServiceFilter(
    private val serviceInForce: (ServiceName) -> ServiceSpec?,
) : RequestFilter {
    override fun apply(draft: RequestDraft): Result<RequestDraft, RequestError> {
        val name = draft.serviceName
        val spec = serviceInForce(ServiceName(name)) ?: return Err(RequestError.UnknownService(name))
        val team = draft.source.header(ApiHeaders.TEAM)
        if (team != null && team != spec.team.value) return Err(RequestError.WrongTeam(name))
        val isCompletion = draft.form is AnswerFormat.Completion
        return when (spec.target) {
            is ServiceTarget.Model if !isCompletion -> {
                Err(RequestError.WrongTarget(name, "/v1/completions"))
            }

            is ServiceTarget.Application if isCompletion -> {
                Err(
                    RequestError.WrongTarget(name, "/v1/services/$name/..."),
                )
            }

            else -> {
                Ok(draft.copy(spec = spec))
            }
        }
    }
}
