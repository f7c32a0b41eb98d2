package samphirechute.daemon.upstream

import kotlinx.serialization.json.Json
import samphirechute.core.RequestId
import samphirechute.core.engine.KvBody
import samphirechute.net.ClientRequest
import samphirechute.net.HttpClient
import samphirechute.routing.Grant
import samphirechute.routing.GrantPart
import com.github.michaelbull.result.get as valueOrNull

/**
 * The memory that engines lend to a prompt that is larger than the engine which answers it. Answers that grant it name
 * no request, so each call has a connection of its own, on which no late answer to an earlier call arrives.
 */
internal class GangMemory(
    private val client: HttpClient,
    private val grant: Grant,
    private val requestId: RequestId,
) {
    private val lenders = grant.parts.drop(1)

    /** Borrows from all lenders; [onDone] gets false, and nothing stays borrowed, when one of them refuses. */
    fun borrow(onDone: (Boolean) -> Unit) {
        if (lenders.isEmpty()) return onDone(true)
        var pending = lenders.size
        var isComplete = true
        for (lender in lenders) {
            call(lender, "/v1/kv/import", lender.memoryTokens) { isDone ->
                isComplete = isComplete && isDone
                if (--pending > 0) return@call
                if (!isComplete) giveBack()
                onDone(isComplete)
            }
        }
    }

    /** Frees what the lenders hold; what a lender does not confirm, the ledger reclaims by its report. */
    fun giveBack() = lenders.forEach { call(it, "/v1/kv/release", 0) { } }

    private fun call(
        lender: GrantPart,
        path: String,
        tokens: Long,
        onDone: (Boolean) -> Unit,
    ) {
        val body = Json.encodeToString(KvBody.serializer(), KvBody(requestId, tokens)).encodeToByteArray()
        val request =
            ClientRequest(lender.address, "POST", path, body, useFreshConnection = true, closesConnection = true)
        client.call(request, TIMEOUT_MS) { result ->
            onDone(result.valueOrNull()?.status == OK)
        }
    }

    private companion object {
        const val OK = 200
        const val TIMEOUT_MS = 2_000L
    }
}
