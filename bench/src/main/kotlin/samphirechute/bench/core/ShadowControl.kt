package samphirechute.bench.core

import samphirechute.platform.runRole
import samphirechute.state.disk.NioFolder

/** Runs a process of the platform whose data folder has an image of what is durable. */
fun main(args: Array<String>) = runRole(args) { ShadowFolder(it, NioFolder(it)) }
