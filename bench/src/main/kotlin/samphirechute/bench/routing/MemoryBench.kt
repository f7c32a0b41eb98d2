package samphirechute.bench.routing

import samphirechute.bench.Bench
import samphirechute.bench.Figures

class MemoryBench : Bench {
    override fun run(
        seed: Long,
        figures: Figures,
    ) = Unit
}
