package edge

import (
	"expvar"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/guard"
)

const (
	// maxMicroseconds and significantDigits bound the memory of a histogram.
	maxMicroseconds   = int64(time.Minute / time.Microsecond)
	significantDigits = 2
	// maxRoutes bounds the number of routes with metrics of their own; calls of further routes are
	// counted together.
	maxRoutes  = 40
	otherRoute = "other"
)

type (
	// metricsEntry is a metric with its value, which is written as JSON.
	metricsEntry struct {
		name  string
		value any
	}

	// metrics counts answers and measures times by route and outcome.
	metrics struct {
		mu     sync.Mutex
		counts map[string]int64
		times  map[string]*hdrhistogram.Histogram
		routes map[spoke.RouteName]bool
		// endless counts the answers that were aborted because of their size or because of bytes that are
		// not a valid answer.
		endless atomic.Int64
		// limited counts the answers in which upstreams named a limit.
		limited atomic.Int64
		// brittle counts the answers in which upstreams said that they are brittle, brittleRejections those of them that
		// rejected the call for want of room.
		brittle, brittleRejections atomic.Int64
		// recalled counts the calls that were recalled from upstreams because of outdated weights.
		recalled atomic.Int64
		// crashes counts the attempts during which this host saw their upstream crash.
		crashes atomic.Int64
		// partMarks counts the decisions to refuse calls with a prompt part, partRefusals the calls that were
		// refused or not sent again because of one.
		partMarks, partRefusals atomic.Int64
		// feedBytes counts the bytes of directory changes that this host sent to other hosts.
		feedBytes atomic.Int64
		// originDatagrams and originRequests count the messages to other hosts about the software versions of
		// streams.
		originDatagrams, originRequests atomic.Int64
		// endChecks counts the calls that ask upstreams whether they still run behind the end of an answer, and
		// unconfirmedEnds the answers that count as broken off after them.
		endChecks, unconfirmedEnds atomic.Int64
		// detours counts the connections that were made through other hosts, wayProbes those made to find out which own ways
		// work, and cutOffs how often this host found that none does.
		detours, wayProbes, cutOffs atomic.Int64
		// withheld counts the attempts that were not sent since their upstream must not get the call any more,
		// evacuationRecalls those that were recalled from evacuated upstreams.
		withheld, evacuationRecalls atomic.Int64
		// homeAttempts counts the attempts of calls with homes.
		homeAttempts atomic.Int64
		// evacuations returns the evacuations in force.
		evacuations func() any
		// cold counts the times that an upstream was found cold, coldCalls the calls placed at cold ones, and healthChecks the
		// health requests.
		cold, coldCalls, healthChecks atomic.Int64
		// speedDiffers and speedRecovered count how often this host found that an upstream differs in speed, and no longer.
		speedDiffers, speedRecovered atomic.Int64
		// behind counts the answers behind which bytes were dropped that do not belong to them.
		behind atomic.Int64
		// cutStreams counts the streams that ended at their deadline behind their first event, cutsAtRisk those of them
		// that counted as at risk when they were placed.
		cutStreams, cutsAtRisk atomic.Int64
		// guard has the state of the bounds on what callers make this host hold.
		guard *guard.Guard
	}
)

func newMetrics() *metrics {
	return &metrics{
		counts: make(map[string]int64), times: make(map[string]*hdrhistogram.Histogram),
		routes: make(map[spoke.RouteName]bool), evacuations: func() any { return nil },
	}
}

// ServeHTTP writes the metrics in the format of package expvar.
func (m *metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	separator := "{\n"
	for _, entry := range m.entries() {
		_, _ = fmt.Fprintf(w, "%s%q: %v", separator, entry.name, entry.value)
		separator = ",\n"
	}
	_, _ = fmt.Fprint(w, "\n}\n")
}

// entries returns all metrics in the order in which they are written.
func (m *metrics) entries() []metricsEntry {
	return []metricsEntry{
		{"answers", expvar.Func(m.answers)},
		{"times", expvar.Func(m.percentiles)},
		{"endless", m.endless.Load()},
		{"limited", m.limited.Load()},
		{"recalled", m.recalled.Load()},
		{"crashes", m.crashes.Load()},
		{"part-marks", m.partMarks.Load()},
		{"part-refusals", m.partRefusals.Load()},
		{"feed-bytes", m.feedBytes.Load()},
		{"origin-datagrams", m.originDatagrams.Load()},
		{"origin-requests", m.originRequests.Load()},
		{"end-checks", m.endChecks.Load()},
		{"unconfirmed-ends", m.unconfirmedEnds.Load()},
		{"bytes-behind", m.behind.Load()},
		{"detours", m.detours.Load()},
		{"way-probes", m.wayProbes.Load()},
		{"cut-offs", m.cutOffs.Load()},
		{"brittle", m.brittle.Load()},
		{"brittle-rejections", m.brittleRejections.Load()},
		{"evacuations", expvar.Func(m.evacuations)},
		{"withheld", m.withheld.Load()},
		{"evacuation-recalls", m.evacuationRecalls.Load()},
		{"home-attempts", m.homeAttempts.Load()},
		{"cut-streams", m.cutStreams.Load()},
		{"cuts-at-risk", m.cutsAtRisk.Load()},
		{"cold", m.cold.Load()},
		{"cold-calls", m.coldCalls.Load()},
		{"health-checks", m.healthChecks.Load()},
		{"speed-differs", m.speedDiffers.Load()},
		{"speed-recovered", m.speedRecovered.Load()},
		{"callers", expvar.Func(m.guardPage)},
	}
}

func (m *metrics) addAnswer(route spoke.RouteName, outcome string, arrived time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	name := m.routeLabel(route)
	m.counts[name+" "+outcome]++
	m.recordTime("whole "+name, time.Since(arrived))
}

func (m *metrics) addEndless() { m.endless.Add(1) }

func (m *metrics) addLimited() { m.limited.Add(1) }

func (m *metrics) addBrittle() { m.brittle.Add(1) }

func (m *metrics) addBrittleRejection() { m.brittleRejections.Add(1) }

func (m *metrics) addCold() { m.cold.Add(1) }

func (m *metrics) addColdCall() { m.coldCalls.Add(1) }

func (m *metrics) addHealthCheck() { m.healthChecks.Add(1) }

func (m *metrics) addRecalled() { m.recalled.Add(1) }

func (m *metrics) addWithheld() { m.withheld.Add(1) }

func (m *metrics) addEvacuationRecall() { m.evacuationRecalls.Add(1) }

func (m *metrics) addHomeAttempt() { m.homeAttempts.Add(1) }

func (m *metrics) addCrash() { m.crashes.Add(1) }

func (m *metrics) addPartMark() { m.partMarks.Add(1) }

func (m *metrics) addPartRefusal() { m.partRefusals.Add(1) }

func (m *metrics) addFeedBytes(count int) { m.feedBytes.Add(int64(count)) }

func (m *metrics) addOriginDatagrams(count int) { m.originDatagrams.Add(int64(count)) }

func (m *metrics) addOriginRequest() { m.originRequests.Add(1) }

func (m *metrics) addEndCheck() { m.endChecks.Add(1) }

func (m *metrics) addUnconfirmedEnd() { m.unconfirmedEnds.Add(1) }

func (m *metrics) addBehind() { m.behind.Add(1) }

func (m *metrics) addDetour() { m.detours.Add(1) }

func (m *metrics) addWayProbe() { m.wayProbes.Add(1) }

func (m *metrics) addCutOff() { m.cutOffs.Add(1) }

func (m *metrics) addCutStream(wasAtRisk bool) {
	m.cutStreams.Add(1)
	if wasAtRisk {
		m.cutsAtRisk.Add(1)
	}
}

func (m *metrics) addPredictedWhole(route spoke.RouteName, took time.Duration) {
	m.add("predicted-whole ", route, took)
}

func (m *metrics) addWait(route spoke.RouteName, took time.Duration) { m.add("wait ", route, took) }

func (m *metrics) addFirst(route spoke.RouteName, took time.Duration) { m.add("first ", route, took) }

func (m *metrics) addGap(route spoke.RouteName, took time.Duration) { m.add("gap ", route, took) }

func (m *metrics) add(what string, route spoke.RouteName, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordTime(what+m.routeLabel(route), took)
}

// routeLabel returns the name under which a route is counted; it bounds the number of names.
func (m *metrics) routeLabel(route spoke.RouteName) string {
	if !m.routes[route] && len(m.routes) >= maxRoutes {
		return otherRoute
	}
	m.routes[route] = true
	return string(route)
}

func (m *metrics) recordTime(name string, took time.Duration) {
	histogram := m.times[name]
	if histogram == nil {
		histogram = hdrhistogram.New(1, maxMicroseconds, significantDigits)
		m.times[name] = histogram
	}
	// The value is within the range of the histogram, so recording it does not fail.
	_ = histogram.RecordValue(min(max(took.Microseconds(), 1), maxMicroseconds))
}

func (m *metrics) answers() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.counts)
}

func (m *metrics) percentiles() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	times := make(map[string]map[string]int64, len(m.times))
	for name, histogram := range m.times {
		times[name] = map[string]int64{
			"count": histogram.TotalCount(), "p50-us": histogram.ValueAtQuantile(50),
			"p95-us": histogram.ValueAtQuantile(95), "p99-us": histogram.ValueAtQuantile(99),
		}
	}
	return times
}
