package edge

import (
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// refusedQuarantined means that a part of the prompt was quarantined while the call waited.
const refusedQuarantined place.Reason = "quarantined"

// applyCrashes carries out what has become known about crashes.
func (p *planner) applyCrashes() {
	p.publishCrashes()
	if p.parts.hasNewMark.CompareAndSwap(true, false) {
		p.refuseQuarantined()
	}
}

// publishCrashes sends what is new about crashes at once, since calls that are sent meanwhile may crash further
// upstreams.
func (p *planner) publishCrashes() {
	if p.parts.registry.HasChanges() {
		p.sendReport(p.timer.Now(), false)
	}
}

// refuseQuarantined refuses the waiting calls that have a quarantined part.
func (p *planner) refuseQuarantined() {
	now := p.timer.Now()
	for call, waiting := range p.waiting {
		verdict := p.parts.registry.Admit(now, waiting.parts)
		if !verdict.IsBlocked {
			continue
		}
		p.handle(schedulerMessage{message: place.Withdraw{Call: call}})
		waiting.reply <- place.Refuse{Call: call, Reason: refusedQuarantined, RetryAfter: verdict.Until.Sub(now)}
	}
}

// otherCellCrashes returns what hosts of other cells should know about crashes, and whether there is anything.
// All hosts of a cell know its marks, so only its delegates report them.
func (p *planner) otherCellCrashes(now time.Time) (spoke.CrashReport, bool) {
	report, _ := p.parts.report(now, true)
	if p.peerAddresses.cell.HasDelegates {
		report.Marks = nil
	}
	return report, len(report.Crashes)+len(report.Served)+len(report.Marks) > 0
}
