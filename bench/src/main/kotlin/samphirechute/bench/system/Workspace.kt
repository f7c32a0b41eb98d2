package samphirechute.bench.system

import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Path
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.io.path.createDirectories
import kotlin.io.path.moveTo
import kotlin.io.path.name
import kotlin.random.Random

/** The folder of one run with the processes that live in it, and loopback addresses of its own. */
internal class Workspace(
    folder: Path,
    val seed: Long,
) : AutoCloseable {
    private val pid = ProcessHandle.current().pid()
    val folder: Path =
        folder
            .toAbsolutePath()
            .normalize()
            .createDirectories()
    val random = Random(seed)
    private val children = CopyOnWriteArrayList<Child>()
    private val givenOut: MutableSet<Pair<String, Int>> = ConcurrentHashMap.newKeySet()

    /** Outgoing connections leave from 127.0.0.1 and take ports there, so servers that are started again listen elsewhere. */
    private val network = "127.${FIRST_NETWORK + pid / HOSTS % NETWORKS}.${pid % HOSTS + 1}"

    init {
        // A bench that is interrupted must not leave its processes behind.
        Runtime.getRuntime().addShutdownHook(Thread(::close))
    }

    fun folder(name: String): Path = folder.resolve(name).createDirectories()

    fun start(
        name: String,
        build: Build,
        launch: Launch,
    ): Child = Child(name, build, launch, folder("logs")).also { children += it }

    /** Runs a command to its end. */
    fun run(
        name: String,
        build: Build,
        command: List<String>,
    ): Pair<Int, String> = start("$name-${children.size}", build, Launch(command, folder)).await()

    /** An address of this run; instances that share a port need one each. */
    fun ip(host: Int) = "$network.$host"

    /** Ports that are free at [ip], all different, and given out once only, since a process may take its port later. */
    fun freePorts(
        ip: String,
        count: Int,
    ): List<Int> {
        val sockets = ArrayList<ServerSocket>()
        val ports = ArrayList<Int>()
        while (ports.size < count) {
            val socket = ServerSocket(0, 1, InetAddress.getByName(ip)).also { sockets += it }
            if (givenOut.add(ip to socket.localPort)) ports += socket.localPort
        }
        sockets.forEach { it.close() }
        return ports
    }

    /** Keeps [data] as it is under another name, and puts a copy in its place. */
    fun replaceByCopy(data: Path) {
        val kept = data.moveTo(data.resolveSibling("${data.name}-kept"))
        kept.toFile().copyRecursively(data.toFile())
    }

    override fun close() = children.forEach { it.close() }

    companion object {
        /** How many of the data folders hold a snapshot of the store. */
        fun snapshots(data: List<Path>): Int =
            data.count { folder -> folder.toFile().walk().any { it.name.startsWith("snapshot-") } }

        private const val FIRST_NETWORK = 64
        private const val NETWORKS = 128
        private const val HOSTS = 250
    }
}
