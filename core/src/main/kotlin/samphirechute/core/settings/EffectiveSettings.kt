package samphirechute.core.settings

import com.fasterxml.jackson.databind.node.ObjectNode
import com.fasterxml.jackson.dataformat.toml.TomlMapper

private val mapper = TomlMapper()

/** The settings in force as TOML, defaults included. Keys are shown as set or not set, never by value. */
fun DaemonSettings.effective(): String {
    val root = mapper.createObjectNode()
    root.put("instance", instance.value)
    root.put("failure_domain", failureDomain.value)
    root.put("listen", listen.toString())
    store?.let { root.putObject("store").put("data_folder", it.dataFolder.toString()) }
    putKeys(root.putObject("keys"))
    putLimits(root.putObject("limits"))
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

private fun DaemonSettings.putKeys(node: ObjectNode) {
    node.put("peer", shown(keys.peer))
    node.put("upstream", shown(keys.upstream))
    node.put("operator", shown(keys.operator))
}

private fun DaemonSettings.putLimits(node: ObjectNode) {
    node.put("max_body_bytes", limits.maxBodyBytes)
    node.put("max_buffered_bytes", limits.maxBufferedBytes)
    node.put("max_head_bytes", limits.maxHeadBytes)
    node.put("max_connections", limits.maxConnections)
    node.put("stop_limit_ms", limits.stopLimitMs)
}

private fun shown(key: String?) = if (key == null) "(not set)" else "(set, not shown)"
