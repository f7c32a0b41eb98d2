package samphirechute.serving.control

import samphirechute.routing.placing.PlacementDecision
import samphirechute.routing.placing.Placer
import samphirechute.serving.cluster.PlacementReport

/**
 * Takes note of what an instance reports. A request that no coordinator answered in time is withdrawn and placed by the
 * instance itself, and one report may name it as both, so what was withdrawn goes first.
 */
internal fun Placer.applyReport(
    report: PlacementReport,
    nowMs: Long,
): List<PlacementDecision> {
    val withdrawn = report.withdrawn.flatMap { withdraw(it, nowMs) }
    if (report.isWhole) retain(report.from, report.own.map { it.request.request }.toSet(), nowMs)
    report.own.forEach { recordPlacement(it.request, it.upstream, nowMs) }
    return withdrawn + report.results.flatMap { reportEnd(it, nowMs) }
}
