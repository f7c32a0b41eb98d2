package samphirechute.core.settings

import com.fasterxml.jackson.databind.node.ObjectNode
import com.fasterxml.jackson.dataformat.toml.TomlMapper

private val mapper = TomlMapper()

/**
 * Returns the effective settings as TOML, including defaults; the daemon prints them on request. The output shows only
 * whether an access key is set, never its value.
 */
fun DaemonSettings.effective(): String {
    val root = mapper.createObjectNode()
    root.put("instance", instance.value)
    root.put("failure_domain", failureDomain.value)
    root.put("listen", listen.toString())
    store?.let { root.putObject("store").put("data_folder", it.dataFolder.toString()) }
    writeKeys(root.putObject("keys"))
    writeLimits(root.putObject("limits"))
    val list = root.putArray("peers")
    peers.forEach { peer ->
        list
            .addObject()
            .put("instance", peer.instance.value)
            .put("failure_domain", peer.failureDomain.value)
            .put("address", peer.address.toString())
            .put("store", peer.isStore)
    }
    return mapper.writeValueAsString(root)
}

private fun DaemonSettings.writeKeys(node: ObjectNode) {
    node.put("peer", setOrNotSet(keys.peer))
    node.put("upstream", setOrNotSet(keys.upstream))
    node.put("operator", setOrNotSet(keys.operator))
}

private fun DaemonSettings.writeLimits(node: ObjectNode) {
    node.put("max_body_bytes", limits.maxBodyBytes)
    node.put("max_buffered_bytes", limits.maxBufferedBytes)
    node.put("max_head_bytes", limits.maxHeadBytes)
    node.put("max_connections", limits.maxConnections)
    node.put("stop_limit_ms", limits.stopLimitMs)
}

private fun setOrNotSet(key: String?) = if (key == null) "(not set)" else "(set, not shown)"
