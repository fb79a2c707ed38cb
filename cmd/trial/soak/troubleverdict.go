package soak

import (
	"bufio"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	fake "magnoliaspoke.example/spoke/fake/platform"
)

const (
	// killSlack is the time around a kill of a host within which it may have cut an answer.
	killSlack = 300 * time.Millisecond
	// minShared is the number of cases from which on a share is judged.
	minShared = 8

	refusedThoughRun = "status 503 of a request that ran and may run once"

	afterKill  = "take-ups after a kill of the host alone"
	otherwise  = "other take-ups"
	withinCall = "streams cut by their engine, within the answer"
)

// minShares are the least shares that have to go on. Engines that are full refuse some streams, and engines also cut the
// runs that go on.
var minShares = []struct {
	name  string
	least float64
}{
	{afterKill, 0.5}, {otherwise, 0.25}, {withinCall, 0.25},
}

type (
	// share is how many of some streams went on.
	share struct{ wentOn, all int }

	// troubleVerdict finds what callers observed of the order of pieces, and what the testbed has made.
	troubleVerdict struct {
		bed *processBed
		// runs holds the number of runs of a request, cuts the requests whose answers an engine cut.
		runs map[string]int
		cuts map[string]bool
		// made counts what engines did, by its name, forms what callers observed.
		made   map[string]int
		forms  map[string]int
		shares map[string]share
		// begun holds the software versions of streams.
		begun map[string]string
		found []finding
	}

	// finding is a violation.
	finding struct {
		at   time.Time
		text string
	}
)

func (b *processBed) judgeTroubles(report *Report, all []exchange) error {
	v := &troubleVerdict{
		bed: b, runs: make(map[string]int), cuts: make(map[string]bool), made: make(map[string]int), forms: make(map[string]int),
		shares: make(map[string]share), begun: make(map[string]string),
	}
	for _, e := range b.boots {
		log, err := e.process.Log()
		if err != nil {
			return err
		}
		v.readLog(e, log)
	}
	v.countFaults()
	previous := make(map[string]exchange)
	for _, x := range all {
		v.judge(x, previous[x.stream])
		previous[x.stream] = x
	}
	v.write(report, all)
	return nil
}

func (v *troubleVerdict) readLog(e *boot, log string) {
	lines := bufio.NewScanner(strings.NewReader(log))
	for lines.Scan() {
		var at int64
		var word, id, text string
		if _, err := fmt.Sscan(lines.Text(), &at, &word, &id, &text); err != nil {
			continue
		}
		switch word {
		case fake.RunStarts:
			v.runs[id]++
			v.made["runs of "+e.Software]++
			if text != "0" {
				v.made["runs that go on"]++
			}
		case fake.TroubleMade:
			v.made[text]++
			v.cuts[id] = v.cuts[id] || text == string(fake.TroubleCutInside) || text == string(fake.TroubleCutBetween)
		}
	}
}

func (v *troubleVerdict) countFaults() {
	for _, e := range v.bed.boots {
		if e.isKilled() {
			v.made["engines killed"]++
		}
	}
	for _, f := range v.bed.hostFaults {
		v.made[f.kind]++
	}
	v.made["host-stopped"] = len(v.bed.stops)
}

// judge judges an answer; before is the try before of the same stream, if there is one.
func (v *troubleVerdict) judge(x, before exchange) {
	c := x.check(v.begun[x.stream], x.isHTTP10 && v.isKilled(x.host, x.sentAt, x.endedAt))
	if v.begun[x.stream] == "" {
		v.begun[x.stream] = c.begun
	}
	for _, fault := range slices.Compact(c.found) {
		v.forms[fault.form]++
		what := "ORDER " + fault.form
		if fault.behind != "" {
			what += " behind " + string(fault.behind)
			v.forms[fault.form+", behind "+string(fault.behind)]++
		}
		if fault.form != notTold {
			v.add(x, what)
		}
	}
	hasGoneOn := x.status == 200 && c.last > x.after
	switch {
	case x.try > 0 && v.isKilledAlone(before.host, before.sentAt, x.sentAt):
		v.addShare(afterKill, hasGoneOn)
	case x.try > 0:
		v.addShare(otherwise, hasGoneOn)
	case x.route == chat && hasGoneOn && !x.hasLeft && v.cuts[x.id] && !v.isKilled(x.host, x.sentAt, x.endedAt):
		v.addShare(withinCall, c.last >= fake.LastPiece)
	}
	if x.status == 503 && v.runs[x.id] > 0 && (x.route == book || x.route == quote) {
		v.forms[refusedThoughRun]++
		v.add(x, refusedThoughRun)
	}
}

func (v *troubleVerdict) addShare(name string, hasGoneOn bool) {
	s := v.shares[name]
	s.all++
	if hasGoneOn {
		s.wentOn++
	}
	v.shares[name] = s
}

func (v *troubleVerdict) isKilled(h *host, from, to time.Time) bool {
	return slices.ContainsFunc(v.bed.hostFaults, func(f hostFault) bool {
		return f.host == h && f.kind != hostFrozen && f.at.After(from) && f.at.Before(to.Add(killSlack))
	})
}

func (v *troubleVerdict) isKilledAlone(h *host, from, to time.Time) bool {
	areAllKilled := slices.ContainsFunc(v.bed.hostFaults, func(f hostFault) bool {
		return f.kind == hostKilled && f.at.After(from) && f.at.Before(to)
	})
	return !areAllKilled && slices.ContainsFunc(v.bed.hostFaults, func(f hostFault) bool {
		return f.host == h && f.kind == hostKilledAlone && f.at.After(from) && f.at.Before(to)
	})
}

// add records a violation with what the logs of the hosts say of it.
func (v *troubleVerdict) add(x exchange, what string) {
	text := fmt.Sprintf(
		"%s: %s, %s, %s, after %d, at most %d tokens, HTTP/1.0 %t, left %t, error %v\n%s", x.id, what, fake.TroubledFraming(x.id), x.route, x.after,
		x.maxOutput, x.isHTTP10, x.hasLeft, x.err, x.body,
	)
	for _, h := range v.bed.hosts {
		text += v.bed.logLines(h, x.id)
	}
	v.found = append(v.found, finding{x.endedAt, text})
}

// write adds the counts and the violations to the report, the earliest first.
func (v *troubleVerdict) write(report *Report, all []exchange) {
	for _, x := range all {
		report.Statuses[fmt.Sprintf("%s %d", x.route, x.status)]++
	}
	for _, form := range orderForms {
		v.forms[form] += 0
	}
	v.forms[notTold] += 0
	v.forms[refusedThoughRun] += 0
	for _, form := range slices.Sorted(maps.Keys(v.forms)) {
		report.FaultLog = append(report.FaultLog, fmt.Sprintf("observed: %s: %d", form, v.forms[form]))
	}
	for _, name := range slices.Sorted(maps.Keys(v.made)) {
		report.FaultLog = append(report.FaultLog, fmt.Sprintf("made: %s: %d", name, v.made[name]))
	}
	slices.SortStableFunc(v.found, func(a, b finding) int { return a.at.Compare(b.at) })
	for _, f := range v.found {
		report.Violations = append(report.Violations, fmt.Sprintf("%.2f s: %s", f.at.Sub(v.bed.startedAt).Seconds(), f.text))
	}
	report.Violations = append(report.Violations, v.judgeShares(report)...)
	report.Violations = append(report.Violations, v.unmade()...)
}

// judgeShares returns the streams too few of which went on.
func (v *troubleVerdict) judgeShares(report *Report) []string {
	var found []string
	for _, row := range minShares {
		s := v.shares[row.name]
		report.FaultLog = append(report.FaultLog, fmt.Sprintf("went on: %s: %d of %d", row.name, s.wentOn, s.all))
		if s.all >= minShared && float64(s.wentOn) < row.least*float64(s.all) {
			found = append(found, fmt.Sprintf("too few went on: %s: %d of %d", row.name, s.wentOn, s.all))
		}
	}
	return found
}

// unmade returns what the testbed has not made and thus not checked.
func (v *troubleVerdict) unmade() []string {
	names := []string{"runs of v1", "runs of v2", "runs that go on", "engines killed", hostKilledAlone, hostFrozen}
	for _, trouble := range fake.Troubles {
		names = append(names, string(trouble))
	}
	var found []string
	for _, name := range names {
		if v.made[name] == 0 {
			found = append(found, "not made, so that nothing is checked: "+name)
		}
	}
	if v.shares[afterKill].all+v.shares[otherwise].all == 0 {
		found = append(found, "no stream was taken up")
	}
	return found
}
