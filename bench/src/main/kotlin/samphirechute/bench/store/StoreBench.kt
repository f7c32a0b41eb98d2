package samphirechute.bench.store

/** Runs the benches of the store alone: `claims` or `recover`, then optionally the seed and `smoke`. */
object StoreBench {
    @JvmStatic
    fun main(args: Array<String>) {
        val name = args.firstOrNull()
        val seed = args.getOrNull(1)?.toLong() ?: 1L
        val isSmoke = args.getOrNull(2) == "smoke"
        println("bench $name, seed $seed${if (isSmoke) ", smoke" else ""}")
        when (name) {
            "claims" -> if (isSmoke) Claims.smoke(seed, ::println) else Claims.run(seed, ::println)
            "recover" -> if (isSmoke) Recover.smoke(seed, ::println) else Recover.run(seed, ::println)
            else -> error("unknown bench '$name'; accepted: claims, recover")
        }
    }
}
