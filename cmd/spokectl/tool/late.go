package tool

import (
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke/logs"
)

// late shows from the log files of hosts why streams were late.
func (s *session) late(wanted lateSettings) error {
	entries, report, err := logs.ReadDirectory(wanted.Logs)
	if err != nil {
		return err
	}
	for _, finding := range report.Findings {
		s.warn("%s: %s", finding.Place, finding.Reason)
	}
	routes := logs.LateStreams(entries)
	if len(routes) == 0 {
		return eris.Errorf("no stream in %q", wanted.Logs)
	}
	if s.settings.JSON {
		return s.writeJSON(encodeLate(routes))
	}
	for _, route := range routes {
		s.writeLate(route)
	}
	return nil
}

func (s *session) writeLate(route logs.LateRoute) {
	late := 0
	for _, count := range route.Causes {
		late += count
	}
	s.print("route %s: %d streams, %d late; first events after their prediction: p10 %v, p50 %v, p90 %v\n",
		route.Route, route.Streams, late, inMillis(route.Lateness[0]), inMillis(route.Lateness[1]), inMillis(route.Lateness[2]))
	for _, cause := range route.SortedCauses() {
		s.print("  %-16s %d\n", cause, route.Causes[cause])
	}
}

func inMillis(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
