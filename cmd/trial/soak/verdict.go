package soak

import (
	"bufio"
	"fmt"
	"slices"
	"strings"
	"time"

	fake "magnoliaspoke.example/spoke/fake/platform"
)

const (
	// exited is the kind of a regular end, which breaks no run off.
	exited = "exited-leaving"
	// lossSlack is the time after the last byte of a request in which a host may close a connection without passing it on.
	lossSlack = 200 * time.Millisecond
	// excusedSending is the time after SIGTERM until which a request that is sent is excused if its engine works on in the
	// last sixth of the grace period.
	excusedSending = 3 * time.Second
	lastSixth      = stopGraceSeconds * time.Second * 5 / 6
	// calmTime is the time behind a run in which the end of its engine may break its answer off.
	calmTime = 2 * time.Second
	// afterGrace is the time after the grace period that belongs to a planned stop.
	afterGrace = time.Second
)

type (
	// engineRun is a run as its engine logged it; ended is zero if it logged no end.
	engineRun struct {
		boot         *boot
		begun, ended time.Time
	}

	// verdict finds what callers observed that the rules forbid.
	verdict struct {
		bed   *processBed
		runs  map[string][]engineRun
		cases map[string]int
		// excused counts the calls that were cut around a stop and do not count as lost.
		excused map[string]int
		found   []string
	}
)

func (b *processBed) judge(all []exchange) (*verdict, error) {
	v := &verdict{bed: b, runs: make(map[string][]engineRun), cases: make(map[string]int), excused: make(map[string]int)}
	for _, e := range b.boots {
		log, err := e.process.Log()
		if err != nil {
			return nil, err
		}
		v.readRuns(e, log)
	}
	for _, runs := range v.runs {
		slices.SortStableFunc(runs, func(a, b engineRun) int { return a.begun.Compare(b.begun) })
	}
	for _, x := range all {
		if kind := orderOf(x); kind != "" {
			v.add(x, "ORDER "+kind)
		}
		if v.isBrokenInCalm(x) {
			v.add(x, "BROKEN")
		}
		if at := v.lostIn(x); at != nil {
			v.add(x, fmt.Sprintf("LOST status %d, sent %.2f s and cut %.2f s after SIGTERM of %s", x.status, x.sentAt.Sub(at.at).Seconds(), x.endedAt.Sub(at.at).Seconds(), x.host.name))
		}
	}
	return v, nil
}

func (v *verdict) readRuns(e *boot, log string) {
	lines := bufio.NewScanner(strings.NewReader(log))
	for lines.Scan() {
		var at int64
		var word, id string
		if _, err := fmt.Sscan(lines.Text(), &at, &word, &id); err != nil {
			continue
		}
		runs := v.runs[id]
		switch {
		case word == fake.RunBegins:
			v.runs[id] = append(runs, engineRun{boot: e, begun: time.UnixMilli(at)})
		case word == fake.RunEnds && len(runs) > 0 && runs[len(runs)-1].boot == e:
			runs[len(runs)-1].ended = time.UnixMilli(at)
		}
	}
}

// orderOf returns in which way an answer breaks the order of its pieces, empty if it does not.
func orderOf(x exchange) string {
	whole := fake.FramedAnswer(x.id, 0)
	switch {
	case x.status != 200:
		return ""
	case !strings.HasPrefix(whole, x.body):
		return "pieces differ"
	case x.err == nil && x.body != whole:
		return "looks complete"
	default:
		return ""
	}
}

// lostIn returns the stop of a host around which a call was lost, nil if there is none. It counts the calls that were cut
// around a stop and are excused.
func (v *verdict) lostIn(x exchange) *stop {
	s := v.stopAround(x)
	if x.err == nil || s == nil {
		return nil
	}
	excuse := v.excuseOf(x, s)
	if excuse == "" {
		return s
	}
	v.excused[excuse]++
	return nil
}

// stopAround returns the stop of the host in which an answer ended, nil if there is none.
func (v *verdict) stopAround(x exchange) *stop {
	for i := range v.bed.stops {
		s := &v.bed.stops[i]
		ended := x.endedAt.Sub(s.at)
		if s.host == x.host && ended >= 0 && ended <= stopGraceSeconds*time.Second+afterGrace {
			return s
		}
	}
	return nil
}

// excuseOf returns why a call that was cut around a stop does not count as lost, empty if it does.
func (v *verdict) excuseOf(x exchange, s *stop) string {
	runs, took := v.runs[x.id], x.endedAt.Sub(x.sentAt)
	switch {
	case took >= processRouteTimeout:
		return "cut in a stop, timeout of the route"
	case len(runs) == 0 && took <= lossSlack:
		return "cut in a stop, not passed on"
	case len(runs) == 0:
		return ""
	}
	last := runs[len(runs)-1]
	switch {
	case last.brokeOff(x):
		return "cut in a stop, engine broke off"
	case last.wasKilledBehind(x):
		return "cut in a stop, engine killed behind its answer"
	case x.sentAt.Sub(s.at) <= excusedSending && last.isAtWork(s.at.Add(lastSixth)):
		return "cut in a stop, engine at work to the last"
	default:
		return ""
	}
}

// brokeOff reports whether the engine was killed while the run went on, before the call ended.
func (r engineRun) brokeOff(x exchange) bool {
	return r.ended.IsZero() && r.wasKilledBefore(x.endedAt)
}

// wasKilledBehind reports whether the engine was killed behind the run, but before the call ended: a fault that is not planned,
// within the time of the call.
func (r engineRun) wasKilledBehind(x exchange) bool {
	return !r.ended.IsZero() && r.wasKilledBefore(x.endedAt)
}

func (r engineRun) wasKilledBefore(at time.Time) bool {
	return r.boot.isKilled() && r.boot.endedAt.Before(at)
}

// isAtWork reports whether the run goes on at a time.
func (r engineRun) isAtWork(at time.Time) bool {
	if r.boot.isKilled() && !r.boot.endedAt.After(at) {
		return false
	}
	return r.ended.IsZero() || r.ended.After(at)
}

// isBrokenInCalm reports whether a begun answer was cut without a stop of its host, although its last run ended at an engine
// that lived on.
func (v *verdict) isBrokenInCalm(x exchange) bool {
	runs := v.runs[x.id]
	if x.err == nil || x.status == 0 || len(runs) == 0 || x.endedAt.Sub(x.sentAt) >= processRouteTimeout || v.stopAround(x) != nil {
		return false
	}
	last := runs[len(runs)-1]
	return !last.ended.IsZero() && (last.boot.end == "" || last.boot.endedAt.Sub(last.ended) > calmTime)
}

// add records a case with what the logs say of it.
func (v *verdict) add(x exchange, what string) {
	end := "none"
	for _, run := range v.runs[x.id] {
		if run.boot.end != "" && run.ended.IsZero() {
			end = run.boot.end
		}
	}
	kind := fmt.Sprintf("%s, %s, end of engine: %s", fake.FramingOf(x.id, x.isStream()), x.route, end)
	rule, _, _ := strings.Cut(what, " status")
	v.cases[rule+", "+kind]++
	text := fmt.Sprintf("%s: %s, %s, HTTP/1.0 %t, %d bytes, error %v", x.id, what, kind, x.isHTTP10, len(x.body), x.err)
	for _, h := range v.bed.hosts {
		text += v.bed.logLines(h, x.id)
	}
	v.found = append(v.found, text)
}

// logLines returns the lines of a host's log that name a request.
func (b *processBed) logLines(h *host, id string) string {
	process, err := b.fleet.Process(h.name)
	if err != nil {
		return "\n    " + err.Error()
	}
	log, _ := process.Log()
	var text strings.Builder
	for line := range strings.Lines(log) {
		if strings.Contains(line, id) {
			text.WriteString("\n    " + h.name + ": " + strings.TrimSpace(line))
		}
	}
	return text.String()
}
