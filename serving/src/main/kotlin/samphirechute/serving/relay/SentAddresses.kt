package samphirechute.serving.relay

import samphirechute.core.HostPort

/** The addresses of the sendings of one request; a restarted upstream has the address under another identifier. */
internal class SentAddresses {
    private val addresses = HashSet<HostPort>()

    /**
     * Returns whether a sending must not take a used connection. On that of an earlier sending, a late copy of its answer has
     * the same identifier as the answer to this one. On any other, part of a copy of an older answer may end the second
     * sending of a repeatable request, after which there is no other. A request that must run once is sent again only
     * after a refusal, where an upstream at its limit of connections would reset a new one.
     */
    fun needsNewConnection(
        address: HostPort,
        isRepeatable: Boolean,
    ): Boolean {
        val isSecond = addresses.isNotEmpty()
        return !addresses.add(address) || (isRepeatable && isSecond)
    }
}
