package samphirechute.bench.mixed

import samphirechute.bench.system.Build
import samphirechute.bench.system.PlatformProcesses
import samphirechute.bench.system.Workspace
import samphirechute.bench.system.await
import samphirechute.bench.system.expect
import samphirechute.bench.system.expectEqual
import samphirechute.bench.system.label
import samphirechute.bench.system.pause
import samphirechute.platform.ControlApi
import kotlin.io.path.readText

/** Part B: control instances of the new build on copies of the folders and settings that the old build leaves behind. */
internal class ControlData(
    private val workspace: Workspace,
    private val checks: Checks,
    private val old: Build,
    private val new: Build,
) {
    fun run() =
        PlatformSystem(workspace, "b", List(CONTROLS) { old }, listOf(old)).use { system ->
            var version = 0
            val isWritten =
                checks.check("B.old-writes") {
                    version = write(system)
                    "revision=$version failure_domain=${PlatformSystem.DRAINED} snapshots=${snapshots(
                        system,
                    )}/$CONTROLS"
                }
            if (isWritten) restarted(system, version)
        }

    /** Has the old build write its data and end; returns the revision in force. */
    private fun write(system: PlatformSystem): Int {
        var version = 1
        system.putConfig(0, system.config(version))
        while (snapshots(system) < CONTROLS && version < MAX_VERSIONS) {
            system.putConfig(0, system.config(++version, filler()))
        }
        system.putConfig(0, system.config(++version))
        system.awaitServed(version)
        system.awaitStatus(0, FAR, PlatformProcesses.OK)
        system.setDrained(0, isDrained = true)
        system.awaitStatus(0, FAR, PlatformProcesses.UNAVAILABLE)
        (system.controls + system.entries).forEach { expectEqual("${it.label} ends with status", 0, it.stop()) }
        return version
    }

    private fun restarted(
        system: PlatformSystem,
        version: Int,
    ) {
        val identities = identities(system)
        val disks = disks(system)
        repeat(CONTROLS) {
            workspace.replaceByCopy(system.dataFolder(it))
            system.controls[it] = system.startControl(it, new)
        }
        system.entries[0] = system.startEntry(0, new)
        checks.check("B.configuration") {
            repeat(CONTROLS) { control ->
                await("the configuration of the old build at ${system.controls[control].label}") {
                    val read = system.operate(control, "GET", ControlApi.CONFIG)
                    read.takeIf { it.status != PlatformProcesses.OK || it.body != system.config(version) }?.toString()
                }
            }
            "revision=$version"
        }
        checks.check("B.drained") {
            system.awaitServed(version)
            val untilNs = System.nanoTime() + HOLD_NS
            while (System.nanoTime() < untilNs) {
                expectEqual("status", PlatformProcesses.UNAVAILABLE, system.send(0, FAR).status)
                pause(POLL_MS)
            }
            "failure_domain=${PlatformSystem.DRAINED}"
        }
        checks.check("B.undrain") {
            system.setDrained(1, isDrained = false)
            system.awaitStatus(0, FAR, PlatformProcesses.OK)
            "failure_domain=${PlatformSystem.DRAINED}"
        }
        checks.check("B.identities") {
            expectEqual("identities on disk", identities, identities(system))
            expectEqual("identities in the log", disks, disks(system))
            val changes = system.controls.flatMap { it.log() }.filter { "event=member_" in it }
            expect("no change of the membership") { changes.firstOrNull() }
            "members=$CONTROLS"
        }
        checks.check("B.change") {
            system.putConfig(2, system.config(version + 1))
            system.awaitServed(version + 1)
            "revision=${version + 1}"
        }
    }

    private fun snapshots(system: PlatformSystem) = Workspace.snapshots(List(CONTROLS, system::dataFolder))

    private fun identities(system: PlatformSystem) =
        List(CONTROLS) { system.dataFolder(it).resolve("identity").readText() }

    /** The identities that the instances name when they start. */
    private fun disks(system: PlatformSystem) =
        system.controls.map { control ->
            val line = control.log().firstOrNull { "event=store_started" in it }.orEmpty()
            line.substringAfter("disk=", "none of ${control.label}").substringBefore(' ')
        }

    /** Text that does not shrink when it is packed, so that the log soon reaches the size of a snapshot. */
    private fun filler() = String(CharArray(FILLER_CHARS) { ALPHABET[workspace.random.nextInt(ALPHABET.length)] })

    private companion object {
        const val CONTROLS = 3
        const val FAR = "/far/x"

        /** A snapshot is due after 16 MiB of commands; each version adds about the length of its filler. */
        const val MAX_VERSIONS = 30
        const val FILLER_CHARS = 1_500_000
        const val ALPHABET = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_"
        const val HOLD_NS = 2_000_000_000L
        const val POLL_MS = 50L
    }
}
