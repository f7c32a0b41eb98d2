package samphirechute.daemon

import org.kohsuke.args4j.Option

/** Options of `samphirechuted`. */
internal class DaemonOptions {
    @Option(name = "--config", required = true, metaVar = "FILE", usage = "settings file (TOML)")
    var config: String = ""

    @Option(name = "--check", usage = "check the settings and exit")
    var isCheckOnly: Boolean = false

    @Option(name = "--print-config", usage = "print the settings in force, without keys, and exit")
    var isPrintOnly: Boolean = false

    @Option(name = "--help", help = true, usage = "show this help")
    var isHelp: Boolean = false
}
