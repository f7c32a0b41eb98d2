package samphirechute.serving.cluster

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import samphirechute.core.FailureDomain
import samphirechute.core.HostPort
import samphirechute.core.InstanceId
import samphirechute.core.ServiceName
import samphirechute.core.UpstreamId
import samphirechute.net.EventLoop
import samphirechute.net.HttpClient
import samphirechute.net.HttpServer
import samphirechute.net.peer.PeerApi
import samphirechute.net.peer.PeerClient
import samphirechute.net.peer.PeerExchange
import samphirechute.state.store.AdoptedConfig
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

class WatcherSpec {
    private val loop = EventLoop("watch")
    private val controls = List(4) { Control() }
    private val sink = Sink()
    private val settings =
        ServingSettings("entry-1", FailureDomain("a"), HostPort("127.0.0.1", 1), controls.map { it.address })
    private val watcher =
        Watcher(settings, loop.timer, PeerClient(HttpClient(loop, CONNECT_TIMEOUT_MS)), isEntry = true, sink)

    @AfterEach
    fun close() {
        controls.forEach { it.server.close() }
        loop.close()
    }

    private fun start() = loop.post { watcher.start() }

    private fun <T> onLoop(action: () -> T): T {
        val result = CompletableFuture<T>()
        loop.post { result.complete(action()) }
        return result.get(LIMIT_MS, TimeUnit.MILLISECONDS)
    }

    private fun await(condition: () -> Boolean) {
        val isMet = CompletableFuture<Unit>()
        val poll = loop.timer.every(POLL_MS) { if (condition()) isMet.complete(Unit) }
        isMet.get(LIMIT_MS, TimeUnit.MILLISECONDS)
        poll.cancel()
    }

    @Nested
    inner class Configurations {
        /** Guards the links of a fleet, which carried each revision once over every link. */
        @Test
        fun `the content of a revision is fetched once`() {
            controls.forEach { it.config = CONFIG_7 }
            start()
            await { watcher.isConfirmed }
            assertEquals(1, onLoop { controls.sumOf { it.fetches } })
            assertEquals(listOf(CONFIG_7), sink.configs)
        }

        @Test
        fun `a content that comes with the word of its revision is not fetched`() {
            controls.forEach {
                it.config = CONFIG_7
                it.isSendingContent = true
            }
            start()
            await { watcher.isConfirmed }
            assertEquals(0, onLoop { controls.sumOf { it.fetches } })
            assertEquals(listOf(CONFIG_7), sink.configs)
        }

        @Test
        fun `one that does not give its content is passed over`() {
            controls.forEach { it.config = CONFIG_7 }
            controls.first().isGivingContent = false
            start()
            await { sink.configs.isNotEmpty() }
            assertEquals(CONFIG_7, sink.configs.single())
        }

        @Test
        fun `an older revision than the one in force is not fetched`() {
            controls[0].config = CONFIG_7
            controls[1].config = AdoptedConfig(3, "older")
            start()
            await { sink.configs.isNotEmpty() && controls[1].asked > 1 }
            assertEquals(0, onLoop { controls[1].fetches })
        }

        /** Guards against a loop of fetches over a content that is never put in force. */
        @Test
        fun `a content that cannot be read is fetched once`() {
            sink.isReading = false
            controls.forEach { it.config = CONFIG_7 }
            start()
            await { controls.all { it.asked > 3 || it !in controls.take(3) } }
            assertEquals(1, onLoop { controls.sumOf { it.fetches } })
        }

        /** Guards a restarted instance against serving an older revision than the one that is acknowledged. */
        @Test
        fun `an instance is confirmed only with the newest revision in force`() {
            controls.forEach { it.config = CONFIG_7 }
            controls.forEach { it.isGivingContent = false }
            start()
            await { controls.first().asked > 1 }
            assertFalse(onLoop { watcher.isConfirmed })
            onLoop { controls.forEach { it.isGivingContent = true } }
            await { watcher.isConfirmed }
            assertEquals(7, sink.revision)
        }

        @Test
        fun `the word of an instance out of touch confirms nothing`() {
            controls.forEach {
                it.config = CONFIG_7
                it.isCurrent = false
            }
            start()
            await { sink.configs.isNotEmpty() && controls.first().asked > 2 }
            assertFalse(onLoop { watcher.isConfirmed })
        }
    }

    @Nested
    inner class Records {
        private val record =
            UpstreamRecord(
                UpstreamId("u-1"),
                ServiceName("s"),
                HostPort("127.0.0.1", 9),
                FailureDomain("a"),
                slots = 1,
                UpstreamState.READY,
            )

        /** Guards the links of a fleet, where each change of an upstream came over four of them. */
        @Test
        fun `come from two instances`() {
            controls.forEach { it.records = listOf(record) }
            start()
            await { controls.take(3).all { it.asked > 1 } }
            assertEquals(2, onLoop { controls.count { it.givenRecords > 0 } })
        }

        @Test
        fun `come from another instance once one is silent`() {
            controls.forEach { it.records = listOf(record) }
            controls.take(2).forEach { it.server.close() }
            start()
            await { sink.records.isNotEmpty() }
            assertEquals(record, sink.records.first())
        }
    }

    @Nested
    inner class Restarts {
        private val left =
            UpstreamRecord(
                UpstreamId("u-1"),
                ServiceName("s"),
                HostPort("127.0.0.1", 9),
                FailureDomain("a"),
                slots = 1,
                UpstreamState.GONE,
            )

        /** Guards against an upstream that has left and is in use again once all control instances have restarted. */
        @Test
        fun `a control instance in a new life is told once which upstreams have left`() {
            sink.left = listOf(left)
            start()
            val control = controls.first()
            await { control.told.size == 1 }
            onLoop { control.life++ }
            await { control.told.size == 2 }
            val asked = onLoop { control.asked }
            await { control.asked > asked + 2 }
            assertEquals(listOf(left, left), onLoop { control.told.toList() })
        }
    }

    @Nested
    inner class Packed {
        @Test
        fun `a configuration survives packing, and repeated text shrinks`() {
            val config = AdoptedConfig(9, "{\"name\":\"route\"}".repeat(1_000))
            val packed = PackedConfig.of(config)
            assertEquals(config, packed.unpack())
            assertTrue(packed.packed.length * 10 < config.content.length)
        }

        @Test
        fun `what is damaged or cut is no configuration`() {
            val whole = PackedConfig.of(CONFIG_7).packed
            for (text in listOf("", "not base 64!", whole.drop(4), whole.take(whole.length / 2 / 4 * 4))) {
                assertNull(PackedConfig(7, text).unpack(), text)
            }
        }
    }

    private inner class Control {
        var config: AdoptedConfig? = null
        var records = emptyList<UpstreamRecord>()
        var isCurrent = true
        var isGivingContent = true
        var isSendingContent = false
        var asked = 0
        var fetches = 0
        var givenRecords = 0
        var life = 1L
        val told = ArrayList<UpstreamRecord>()
        val server = HttpServer(loop, handler = PeerApi().also(::serve)::handle)
        val address: HostPort = server.bind(HostPort("127.0.0.1", 0))

        private fun serve(api: PeerApi) {
            api.on(
                ClusterRoutes.watch,
            ) { request, exchange -> loop.timer.after(ANSWER_MS) { answer(request, exchange) } }
            api.on(ClusterRoutes.config) { _, exchange ->
                fetches++
                if (isGivingContent) exchange.answer(ConfigReply(config?.let(PackedConfig::of)))
            }
        }

        private fun answer(
            request: WatchRequest,
            exchange: PeerExchange<WatchReply>,
        ) {
            asked++
            told += request.departed
            val given = records.takeIf { request.recordsVersion < 1 }.orEmpty()
            givenRecords += given.size
            exchange.answer(
                WatchReply(
                    life,
                    1,
                    given,
                    config?.revision ?: 0,
                    config?.takeIf { isSendingContent && request.revision < it.revision }?.let(PackedConfig::of),
                    leader = LEADER,
                    isCurrent = isCurrent,
                    entries = 1,
                ),
            )
        }
    }

    private class Sink : WatchListener {
        override var revision = 0L
        override val drainVersion = 0L
        var isReading = true
        var left = emptyList<UpstreamRecord>()

        override fun departed() = left

        val configs = ArrayList<AdoptedConfig>()
        val records = ArrayList<UpstreamRecord>()

        override fun applyConfig(config: AdoptedConfig) {
            configs += config
            if (isReading) revision = config.revision
        }

        override fun applyDrains(drains: DrainedDomains) = Unit

        override fun applyRecords(records: List<UpstreamRecord>) {
            this.records += records
        }
    }

    private companion object {
        const val CONNECT_TIMEOUT_MS = 400
        const val LIMIT_MS = 10_000L
        const val POLL_MS = 5L
        const val ANSWER_MS = 10L
        val CONFIG_7 = AdoptedConfig(7, "content")
        val LEADER = InstanceId("127.0.0.1:2")
    }
}
