package samphirechute.serving.control

import samphirechute.routing.placing.Decision
import samphirechute.routing.placing.Placer
import samphirechute.serving.cluster.PlaceEnds

/**
 * Takes note of what an instance reports. A request that no coordinator answered in time is withdrawn and placed by the
 * instance itself, and one report may name it as both, so what was withdrawn goes first.
 */
internal fun Placer.take(
    report: PlaceEnds,
    nowMs: Long,
): List<Decision> {
    val withdrawn = report.withdrawn.flatMap { withdraw(it, nowMs) }
    if (report.isWhole) retain(report.from, report.own.map { it.request.request }.toSet(), nowMs)
    report.own.forEach { adopt(it.request, it.upstream, nowMs) }
    return withdrawn + report.results.flatMap { ended(it, nowMs) }
}
