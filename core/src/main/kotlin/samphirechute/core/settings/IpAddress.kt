package samphirechute.core.settings

import samphirechute.core.HostPort
import java.net.InetAddress

private val ipv4 = Regex("""(25[0-5]|2[0-4]\d|1?\d?\d)(\.(25[0-5]|2[0-4]\d|1?\d?\d)){3}""")
private val ipv6 = Regex("""\[[0-9a-fA-F:.]*:[0-9a-fA-F:.]*]""")

/** Returns the IP address of the host without a DNS lookup, or null if the host is a name. */
internal fun HostPort.inetAddress(): InetAddress? {
    if (!ipv4.matches(host) && !ipv6.matches(host)) return null
    return runCatching { InetAddress.getByName(host) }.getOrNull()
}
