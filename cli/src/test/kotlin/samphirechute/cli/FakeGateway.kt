package samphirechute.cli

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onSuccess
import samphirechute.cli.http.AnswerSink
import samphirechute.cli.http.ApiAnswer
import samphirechute.cli.http.ApiCall
import samphirechute.cli.http.CallFailure
import samphirechute.cli.http.Gateway

/** Answers from a script: the first answer left for the server and path, and the last one again and again. */
internal class FakeGateway : Gateway {
    private val script = LinkedHashMap<String, ArrayDeque<Result<ApiAnswer, CallFailure>>>()
    val calls = mutableListOf<ApiCall>()

    fun on(
        place: String,
        answers: List<Result<ApiAnswer, CallFailure>>,
    ) = apply { script.getOrPut(place) { ArrayDeque() } += answers }

    fun on(
        place: String,
        answer: Result<ApiAnswer, CallFailure>,
    ) = on(place, listOf(answer))

    override fun call(call: ApiCall): Result<ApiAnswer, CallFailure> {
        calls += call
        val answers = script["${call.server}${call.path}"] ?: return refused
        return if (answers.size > 1) answers.removeFirst() else answers.first()
    }

    override fun stream(
        call: ApiCall,
        sink: AnswerSink,
    ) = call(call).onSuccess { answer ->
        sink.onHead(answer.status, answer.headers)
        // Single bytes show whether a character or an event in two pieces stays whole.
        answer.body.encodeToByteArray().forEach { sink.onPiece(byteArrayOf(it)) }
    }

    companion object {
        val refused = Err(CallFailure("could not connect", mayHaveArrived = false))
        val lost = Err(CallFailure("connection closed", mayHaveArrived = true))

        fun ok(body: String) = Ok(ApiAnswer(200, body = body))

        fun error(
            status: Int,
            code: String,
            runState: String,
        ) = Ok(ApiAnswer(status, body = """{"error":{"code":"$code","message":"m","run_state":"$runState"}}"""))

        fun stream(body: String) = Ok(ApiAnswer(200, mapOf("content-type" to "text/event-stream"), body))
    }
}
