package samphirechute.cli.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import io.netty.buffer.ByteBuf
import samphirechute.net.ClientCall
import samphirechute.net.ClientFailure
import samphirechute.net.ClientRequest
import samphirechute.net.ClientResponse
import samphirechute.net.EventLoop
import samphirechute.net.HttpClient
import samphirechute.net.ResponseListener
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/** Sends over the network. The loop starts with the first request, so that offline commands open nothing. */
internal class LoopGateway :
    Gateway,
    AutoCloseable {
    private val loop = lazy { EventLoop("samphirectl") }
    private val client by lazy { HttpClient(loop.value) }

    override fun call(call: ApiCall): Result<ApiAnswer, CallFailure> {
        val future = CompletableFuture<Result<ClientResponse, ClientFailure>>()
        loop.value.post { client.call(call.toRequest(), call.timeoutMs) { future.complete(it) } }
        return future
            .get()
            .map { ApiAnswer(it.status, it.headers, it.body.decodeToString()) }
            .mapError { failureOf(it) }
    }

    override fun stream(
        call: ApiCall,
        sink: AnswerSink,
    ): Result<ApiAnswer, CallFailure> {
        val listener = Listener(sink)
        val started = CompletableFuture<ClientCall>()
        loop.value.post { started.complete(client.send(call.toRequest(), listener)) }
        return try {
            listener.result.get(call.timeoutMs, TimeUnit.MILLISECONDS)
        } catch (e: TimeoutException) {
            loop.value.post { started.get().cancel() }
            Err(failureOf(ClientFailure.TimedOut(call.timeoutMs)))
        } catch (e: ExecutionException) {
            loop.value.post { started.get().cancel() }
            Err(CallFailure("the answer could not be written: ${e.cause?.message}", mayHaveArrived = true))
        }
    }

    override fun close() {
        if (loop.isInitialized()) loop.value.close()
    }

    private class Listener(
        private val sink: AnswerSink,
    ) : ResponseListener {
        val result = CompletableFuture<Result<ApiAnswer, CallFailure>>()
        private var answer = ApiAnswer(0)

        override fun onHead(
            status: Int,
            headers: Map<String, String>,
        ) {
            answer = ApiAnswer(status, headers)
            guarded { sink.onHead(status, headers) }
        }

        override fun onBody(piece: ByteBuf) {
            val bytes = ByteArray(piece.readableBytes()).also(piece::readBytes)
            guarded { sink.onPiece(bytes) }
        }

        override fun onEnd() {
            result.complete(Ok(answer))
        }

        override fun onFailure(failure: ClientFailure) {
            result.complete(Err(failureOf(failure)))
        }

        @Suppress("TooGenericExceptionCaught")
        private fun guarded(action: () -> Unit) {
            try {
                action()
            } catch (e: RuntimeException) {
                result.completeExceptionally(e)
            }
        }
    }
}

private fun ApiCall.toRequest() =
    ClientRequest(server, method, path, body?.encodeToByteArray() ?: ByteArray(0), headers = headers)

private fun failureOf(failure: ClientFailure) =
    CallFailure(failure.message, mayHaveArrived = failure !is ClientFailure.ConnectFailed)
