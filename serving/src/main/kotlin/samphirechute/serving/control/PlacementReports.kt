package samphirechute.serving.control

import samphirechute.routing.placing.PlacementDecision
import samphirechute.routing.placing.Placer
import samphirechute.serving.cluster.PlacementReport

/**
 * Applies what an instance reports and returns the decisions that follow from it. An instance withdraws a request that
 * the coordinator has not answered in time and places it itself. One report may name a request as both withdrawn and
 * placed, so the withdrawals come first. What it has placed itself counts against the limits of upstreams; a whole report
 * also names requests that were sent long ago.
 */
internal fun Placer.applyReport(
    report: PlacementReport,
    nowMs: Long,
): List<PlacementDecision> {
    val withdrawn = report.withdrawn.flatMap { withdraw(it, nowMs) }
    if (report.isWhole) retain(report.from, report.own.map { it.request.request }.toSet(), nowMs)
    report.own.forEach { recordPlacement(it.request, it.upstream, nowMs, isJustSent = !report.isWhole) }
    return withdrawn + report.results.flatMap { reportEnd(it, nowMs) }
}
