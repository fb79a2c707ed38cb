package place

import (
	"maps"

	"magnoliaspoke.example/spoke"
)

// ForCell returns the part of a report from ForOtherCells that one cell needs, and whether there is any. Weights and
// pauses concern only the cell that uses their upstream. During a rollout they are most of a report, and sending all of
// them to all hosts fills the sender's link, so that reports are lost.
func (s *Scheduler) ForCell(report spoke.HostReport, cell int) (spoke.HostReport, bool) {
	report.Paused, report.Weights = maps.Clone(report.Paused), maps.Clone(report.Weights)
	isOfOther := func(id spoke.UpstreamID) bool {
		used, isKnown := s.cellOfUpstream[id]
		return isKnown && used != cell
	}
	for id := range report.Paused {
		if isOfOther(id) {
			delete(report.Paused, id)
		}
	}
	for id := range report.Weights {
		if isOfOther(id) {
			delete(report.Weights, id)
		}
	}
	return report, hasCellContent(report)
}

// DiffersByCell reports whether ForCell may return different parts of a report for different cells.
func DiffersByCell(report spoke.HostReport) bool { return len(report.Paused)+len(report.Weights) > 0 }

func hasCellContent(report spoke.HostReport) bool {
	return len(report.Cold)+len(report.Paused)+len(report.Doubts)+len(report.Weights)+len(report.Leaving)+len(report.Limits)+len(report.Brittle) > 0
}
