package samphirechute.state.disk

import java.net.URI
import java.nio.ByteBuffer
import java.nio.MappedByteBuffer
import java.nio.channels.FileChannel
import java.nio.channels.FileLock
import java.nio.channels.ReadableByteChannel
import java.nio.channels.SeekableByteChannel
import java.nio.channels.WritableByteChannel
import java.nio.file.AccessMode
import java.nio.file.CopyOption
import java.nio.file.DirectoryStream
import java.nio.file.FileSystem
import java.nio.file.Files
import java.nio.file.LinkOption
import java.nio.file.OpenOption
import java.nio.file.Path
import java.nio.file.attribute.BasicFileAttributes
import java.nio.file.attribute.FileAttribute
import java.nio.file.attribute.FileAttributeView
import java.nio.file.spi.FileSystemProvider

/** The real file system below a folder, which records the changes and syncs in order, as `write log-0.tmp`. */
internal class RecordingFileSystem(
    private val base: Path,
) : FileSystem() {
    val operations = mutableListOf<String>()
    private val provider = Provider()

    fun path(relative: String): Path = RecordedPath(base.resolve(relative))

    private fun record(
        operation: String,
        vararg paths: Path,
    ) {
        operations += (listOf(operation) + paths.map { base.relativize(plain(it)).toString() }).joinToString(" ")
    }

    private fun plain(path: Path): Path = (path as? RecordedPath)?.plain ?: path

    override fun provider(): FileSystemProvider = provider

    override fun close() = Unit

    override fun isOpen() = true

    override fun isReadOnly() = false

    override fun getSeparator(): String = base.fileSystem.separator

    override fun getRootDirectories() = throw UnsupportedOperationException()

    override fun getFileStores() = throw UnsupportedOperationException()

    override fun supportedFileAttributeViews() = throw UnsupportedOperationException()

    override fun getPath(
        first: String,
        vararg more: String,
    ): Path = RecordedPath(base.fileSystem.getPath(first, *more))

    override fun getPathMatcher(pattern: String) = throw UnsupportedOperationException()

    override fun getUserPrincipalLookupService() = throw UnsupportedOperationException()

    override fun newWatchService() = throw UnsupportedOperationException()

    private inner class RecordedPath(
        val plain: Path,
    ) : Path by plain {
        override fun getFileSystem() = this@RecordingFileSystem

        override fun getParent(): Path? = plain.parent?.let(::RecordedPath)

        override fun toAbsolutePath(): Path = RecordedPath(plain.toAbsolutePath())

        override fun resolve(other: Path): Path = RecordedPath(plain.resolve(plain(other)))

        override fun resolve(other: String): Path = RecordedPath(plain.resolve(other))

        override fun relativize(other: Path): Path = RecordedPath(plain.relativize(plain(other)))

        override fun toFile() = plain.toFile()

        override fun iterator(): MutableIterator<Path> =
            plain.map { RecordedPath(it) as Path }.toMutableList().iterator()

        override fun compareTo(other: Path) = plain.compareTo(plain(other))

        override fun toString() = plain.toString()
    }

    private inner class Provider : FileSystemProvider() {
        override fun getScheme() = "recording"

        override fun newFileSystem(
            uri: URI,
            env: MutableMap<String, *>,
        ) = throw UnsupportedOperationException()

        override fun getFileSystem(uri: URI) = throw UnsupportedOperationException()

        override fun getPath(uri: URI) = throw UnsupportedOperationException()

        override fun newByteChannel(
            path: Path,
            options: MutableSet<out OpenOption>,
            vararg attrs: FileAttribute<*>,
        ): SeekableByteChannel = Files.newByteChannel(plain(path), options, *attrs)

        override fun newFileChannel(
            path: Path,
            options: MutableSet<out OpenOption>,
            vararg attrs: FileAttribute<*>,
        ): FileChannel = RecordedChannel(path, FileChannel.open(plain(path), options, *attrs))

        override fun newDirectoryStream(
            dir: Path,
            filter: DirectoryStream.Filter<in Path>,
        ): DirectoryStream<Path> = Files.newDirectoryStream(plain(dir), filter)

        override fun createDirectory(
            dir: Path,
            vararg attrs: FileAttribute<*>,
        ) {
            Files.createDirectory(plain(dir), *attrs)
            record("create", dir)
        }

        override fun delete(path: Path) {
            Files.delete(plain(path))
            record("delete", path)
        }

        override fun copy(
            source: Path,
            target: Path,
            vararg options: CopyOption,
        ) = throw UnsupportedOperationException()

        override fun move(
            source: Path,
            target: Path,
            vararg options: CopyOption,
        ) {
            Files.move(plain(source), plain(target), *options)
            record("rename", source, target)
        }

        override fun isSameFile(
            path: Path,
            path2: Path,
        ) = Files.isSameFile(plain(path), plain(path2))

        override fun isHidden(path: Path) = Files.isHidden(plain(path))

        override fun getFileStore(path: Path) = Files.getFileStore(plain(path))

        override fun checkAccess(
            path: Path,
            vararg modes: AccessMode,
        ) = plain(path).let { it.fileSystem.provider().checkAccess(it, *modes) }

        override fun <V : FileAttributeView?> getFileAttributeView(
            path: Path,
            type: Class<V>,
            vararg options: LinkOption,
        ): V = Files.getFileAttributeView(plain(path), type, *options)

        override fun <A : BasicFileAttributes?> readAttributes(
            path: Path,
            type: Class<A>,
            vararg options: LinkOption,
        ): A = Files.readAttributes(plain(path), type, *options)

        override fun readAttributes(
            path: Path,
            attributes: String,
            vararg options: LinkOption,
        ): MutableMap<String, Any> = Files.readAttributes(plain(path), attributes, *options)

        override fun setAttribute(
            path: Path,
            attribute: String,
            value: Any,
            vararg options: LinkOption,
        ) {
            Files.setAttribute(plain(path), attribute, value, *options)
        }
    }

    private inner class RecordedChannel(
        private val path: Path,
        private val channel: FileChannel,
    ) : FileChannel() {
        override fun write(src: ByteBuffer) = channel.write(src).also { record("write", path) }

        override fun truncate(size: Long): FileChannel =
            apply {
                channel.truncate(size)
                record("truncate", path)
            }

        override fun force(metaData: Boolean) {
            channel.force(metaData)
            record("sync", path)
        }

        override fun tryLock(
            position: Long,
            size: Long,
            shared: Boolean,
        ): FileLock? = channel.tryLock(position, size, shared)

        override fun implCloseChannel() = channel.close()

        override fun read(dst: ByteBuffer) = channel.read(dst)

        override fun read(
            dsts: Array<ByteBuffer>,
            offset: Int,
            length: Int,
        ) = channel.read(dsts, offset, length)

        override fun read(
            dst: ByteBuffer,
            position: Long,
        ) = channel.read(dst, position)

        override fun position() = channel.position()

        override fun size() = channel.size()

        override fun write(
            srcs: Array<ByteBuffer>,
            offset: Int,
            length: Int,
        ): Long = throw UnsupportedOperationException()

        override fun write(
            src: ByteBuffer,
            position: Long,
        ): Int = throw UnsupportedOperationException()

        override fun position(newPosition: Long): FileChannel = throw UnsupportedOperationException()

        override fun transferTo(
            position: Long,
            count: Long,
            target: WritableByteChannel,
        ): Long = throw UnsupportedOperationException()

        override fun transferFrom(
            src: ReadableByteChannel,
            position: Long,
            count: Long,
        ): Long = throw UnsupportedOperationException()

        override fun map(
            mode: MapMode,
            position: Long,
            size: Long,
        ): MappedByteBuffer = throw UnsupportedOperationException()

        override fun lock(
            position: Long,
            size: Long,
            shared: Boolean,
        ): FileLock = throw UnsupportedOperationException()
    }
}
