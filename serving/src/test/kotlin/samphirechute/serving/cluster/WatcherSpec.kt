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
    private val listener = FakeListener()
    private val settings =
        ServingSettings("entry-1", FailureDomain("a"), HostPort("127.0.0.1", 1), controls.map { it.address })
    private val watcher =
        Watcher(settings, loop.timer, PeerClient(HttpClient(loop, CONNECT_TIMEOUT_MS)), isEntry = true, listener)

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
        /** Guards against sending each revision once over every link of a fleet. */
        @Test
        fun `the content of a revision is fetched once`() {
            controls.forEach { it.config = CONFIG_7 }
            start()
            await { watcher.isConfirmed }
            assertEquals(1, onLoop { controls.sumOf { it.fetches } })
            assertEquals(listOf(CONFIG_7), listener.configs)
        }

        @Test
        fun `content that is sent together with its revision is not fetched`() {
            controls.forEach {
                it.config = CONFIG_7
                it.sendsContent = true
            }
            start()
            await { watcher.isConfirmed }
            assertEquals(0, onLoop { controls.sumOf { it.fetches } })
            assertEquals(listOf(CONFIG_7), listener.configs)
        }

        @Test
        fun `an instance that does not send the content is skipped`() {
            controls.forEach { it.config = CONFIG_7 }
            controls.first().servesContent = false
            start()
            await { listener.configs.isNotEmpty() }
            assertEquals(CONFIG_7, listener.configs.single())
        }

        @Test
        fun `a revision older than the one in force is not fetched`() {
            controls[0].config = CONFIG_7
            controls[1].config = AdoptedConfig(3, "older")
            start()
            await { listener.configs.isNotEmpty() && controls[1].polls > 1 }
            assertEquals(0, onLoop { controls[1].fetches })
        }

        /** Guards against endless fetches of content that can never be put in force. */
        @Test
        fun `content that cannot be read is fetched once`() {
            listener.canRead = false
            controls.forEach { it.config = CONFIG_7 }
            start()
            await { controls.all { it.polls > 3 || it !in controls.take(3) } }
            assertEquals(1, onLoop { controls.sumOf { it.fetches } })
        }

        /** Guards against a restarted instance that serves an older revision than the acknowledged one. */
        @Test
        fun `an instance is confirmed only once the newest revision is in force`() {
            controls.forEach { it.config = CONFIG_7 }
            controls.forEach { it.servesContent = false }
            start()
            await { controls.first().polls > 1 }
            assertFalse(onLoop { watcher.isConfirmed })
            onLoop { controls.forEach { it.servesContent = true } }
            await { watcher.isConfirmed }
            assertEquals(7, listener.revision)
        }

        /** Guards against an old configuration for good while instances that were removed from the store still answer. */
        @Test
        fun `the newest revision is found beside three instances without contact to the leader`() {
            controls.take(3).forEach {
                it.config = AdoptedConfig(3, "older")
                it.isCurrent = false
            }
            controls.last().config = CONFIG_7
            start()
            await { listener.revision == CONFIG_7.revision }
        }

        /** Guards against an instance that counts a configuration as held though it never was in force. */
        @Test
        fun `a configuration that could not be put in force is fetched again`() {
            listener.failures = 1
            controls.forEach { it.config = CONFIG_7 }
            start()
            await { listener.revision == CONFIG_7.revision }
        }

        /** Guards against control instances that are never asked again after one answer could not be handled. */
        @Test
        fun `an instance is polled again after its answer could not be handled`() {
            listener.failures = controls.size
            controls.forEach {
                it.config = CONFIG_7
                it.sendsContent = true
            }
            start()
            await { controls.take(3).all { it.polls > 2 } }
        }

        /** Guards against an old configuration that a member confirms while it is being filled or has just started. */
        @Test
        fun `an instance that is behind the revision in force confirms nothing`() {
            controls.forEach {
                it.config = CONFIG_7
                it.isCurrent = false
            }
            controls[1].config = null
            controls[1].isCurrent = true
            start()
            await { listener.configs.isNotEmpty() && controls[1].polls > 2 }
            assertFalse(onLoop { watcher.isConfirmed })
            onLoop {
                controls[1].config = CONFIG_7
                controls[2].isCurrent = true
            }
            await { watcher.isConfirmed }
        }

        /** Guards against an old configuration that a member which is catching up confirms beside others that have a newer one. */
        @Test
        fun `a revision is not confirmed while an instance in contact names a newer one`() {
            controls.forEach {
                it.config = CONFIG_7
                it.servesContent = false
            }
            controls[0].config = AdoptedConfig(6, "catching up")
            controls[0].sendsContent = true
            start()
            await { listener.revision == 6L && controls.take(3).all { it.polls > 3 } }
            assertFalse(onLoop { watcher.isConfirmed })
            onLoop { controls.forEach { it.servesContent = true } }
            await { watcher.isConfirmed }
            assertEquals(7, listener.revision)
        }

        /** Guards against a fleet that fetches a configuration without pause which no instance can put in force. */
        @Test
        fun `a configuration that cannot be put in force is fetched ever more rarely`() {
            listener.failures = Int.MAX_VALUE
            controls.forEach { it.config = CONFIG_7 }
            start()
            await { controls.take(3).all { it.polls > 30 } }
            val fetches = onLoop { controls.sumOf { it.fetches } }
            assertTrue(fetches <= 10, "$fetches fetches")
        }

        @Test
        fun `an answer from an instance without contact to the leader confirms nothing`() {
            controls.forEach {
                it.config = CONFIG_7
                it.isCurrent = false
            }
            start()
            await { listener.configs.isNotEmpty() && controls.first().polls > 2 }
            assertFalse(onLoop { watcher.isConfirmed })
        }
    }

    @Nested
    inner class Seeds {
        private val gone = HttpServer(loop, handler = {}).run { bind(HostPort("127.0.0.1", 0)).also { close() } }

        @Volatile
        private var seeds = listOf(gone)
        private val restarted =
            Watcher(
                settings.copy(seeds = seeds, readSeeds = { seeds }),
                loop.timer,
                PeerClient(HttpClient(loop, CONNECT_TIMEOUT_MS)),
                isEntry = true,
                listener,
            )

        /** Guards against an old configuration for good at an instance that was cut off while all it knew were replaced. */
        @Test
        fun `are read again while no control instance is reached`() {
            controls.forEach { it.config = CONFIG_7 }
            loop.post { restarted.start() }
            seeds = listOf(controls.first().address)
            await { listener.revision == CONFIG_7.revision }
        }

        @Test
        fun `that are read again on demand are followed beside those known before`() {
            controls.forEach { it.config = CONFIG_7 }
            seeds = listOf(controls[0].address)
            loop.post { restarted.start() }
            await { restarted.reachable().isNotEmpty() }
            seeds = listOf(controls[1].address)
            loop.post { restarted.reloadSeeds() }
            await { restarted.reachable().size == 2 }
        }

        /** Guards against an instance that forgets all it knows because its settings are being written. */
        @Test
        fun `that cannot be read change nothing`() {
            controls.forEach { it.config = CONFIG_7 }
            seeds = listOf(controls.first().address)
            loop.post { restarted.start() }
            await { restarted.reachable().isNotEmpty() }
            seeds = emptyList()
            onLoop { restarted.reloadSeeds() }
            assertEquals(1, onLoop { restarted.reachable().size })
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

        /** Guards against sending each change of an upstream over four links to every instance of a fleet. */
        @Test
        fun `come from two instances`() {
            controls.forEach { it.records = listOf(record) }
            start()
            await { controls.take(3).all { it.polls > 1 } }
            assertEquals(2, onLoop { controls.count { it.sentRecords > 0 } })
        }

        @Test
        fun `come from another instance once one is silent`() {
            controls.forEach { it.records = listOf(record) }
            controls.take(2).forEach { it.server.close() }
            start()
            await { listener.records.isNotEmpty() }
            assertEquals(record, listener.records.first())
        }
    }

    @Nested
    inner class Restarts {
        private val gone =
            UpstreamRecord(
                UpstreamId("u-1"),
                ServiceName("s"),
                HostPort("127.0.0.1", 9),
                FailureDomain("a"),
                slots = 1,
                UpstreamState.GONE,
            )

        /** Guards against requests to an upstream that has left, after all control instances have restarted. */
        @Test
        fun `a restarted control instance is sent the departed upstreams once`() {
            listener.gone = listOf(gone)
            start()
            val control = controls.first()
            await { control.receivedDepartures.size == 1 }
            onLoop { control.incarnation++ }
            await { control.receivedDepartures.size == 2 }
            val polls = onLoop { control.polls }
            await { control.polls > polls + 2 }
            assertEquals(listOf(gone, gone), onLoop { control.receivedDepartures.toList() })
        }
    }

    @Nested
    inner class EntryCounts {
        private fun awaitCount() {
            controls.forEach { it.entries = ENTRIES }
            start()
            await { watcher.reachable().size == 3 }
            assertEquals(ENTRIES, onLoop { watcher.entries })
        }

        /** Guards against instances that each take the whole of a budget of all instances once they are cut off. */
        @Test
        fun `the count stays when no control instance can be reached`() {
            awaitCount()
            controls.forEach { it.server.close() }
            await { watcher.reachable().isEmpty() }
            assertEquals(ENTRIES, onLoop { watcher.entries })
        }

        /** Guards against the count of control instances that have restarted and know no entry instance yet. */
        @Test
        fun `the count stays when all control instances have restarted`() {
            awaitCount()
            val polls =
                onLoop {
                    controls.forEach {
                        it.entries = 1
                        it.incarnation++
                    }
                    controls.map { it.polls }
                }
            await { controls.zip(polls).take(3).all { (control, before) -> control.polls > before + 1 } }
            assertEquals(ENTRIES, onLoop { watcher.entries })
        }
    }

    @Nested
    inner class PackedConfigs {
        @Test
        fun `a configuration can be packed and unpacked, and repeated text shrinks`() {
            val config = AdoptedConfig(9, "{\"name\":\"route\"}".repeat(1_000))
            val packed = PackedConfig.of(config)
            assertEquals(config, packed.unpack())
            assertTrue(packed.packed.length * 10 < config.content.length)
        }

        @Test
        fun `damaged or truncated content is not a configuration`() {
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
        var servesContent = true
        var sendsContent = false
        var polls = 0
        var fetches = 0
        var sentRecords = 0
        var incarnation = 1L
        var entries = 1
        val receivedDepartures = ArrayList<UpstreamRecord>()
        val server = HttpServer(loop, handler = PeerApi().also(::serve)::handle)
        val address: HostPort = server.bind(HostPort("127.0.0.1", 0))

        private fun serve(api: PeerApi) {
            api.on(
                ClusterRoutes.watch,
            ) { request, exchange -> loop.timer.after(ANSWER_MS) { answer(request, exchange) } }
            api.on(ClusterRoutes.fetchConfig) { _, exchange ->
                fetches++
                if (servesContent) exchange.answer(ConfigReply(config?.let(PackedConfig::of)))
            }
        }

        private fun answer(
            request: WatchRequest,
            exchange: PeerExchange<WatchReply>,
        ) {
            polls++
            receivedDepartures += request.departed
            val newRecords = records.takeIf { request.recordsVersion < 1 }.orEmpty()
            sentRecords += newRecords.size
            exchange.answer(
                WatchReply(
                    incarnation,
                    1,
                    newRecords,
                    config?.revision ?: 0,
                    config?.takeIf { sendsContent && request.revision < it.revision }?.let(PackedConfig::of),
                    leader = LEADER,
                    isCurrent = isCurrent,
                    entries = entries,
                ),
            )
        }
    }

    private class FakeListener : WatchListener {
        override var revision = 0L
        override val drainVersion = 0L
        var canRead = true
        var failures = 0
        var gone = emptyList<UpstreamRecord>()

        override fun departed() = gone

        val configs = ArrayList<AdoptedConfig>()
        val records = ArrayList<UpstreamRecord>()

        override fun applyConfig(config: AdoptedConfig) {
            configs += config
            check(failures-- <= 0) { "the configuration cannot be put in force" }
            if (canRead) revision = config.revision
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
        const val ENTRIES = 9
        val CONFIG_7 = AdoptedConfig(7, "content")
        val LEADER = InstanceId("127.0.0.1:2")
    }
}
