package tool

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/admin"
	"magnoliaspoke.example/spoke/events"
)

// explain prints the current state of a request, its attempts with their upstreams, and its
// events on all hosts.
func (s *session) explain(ctx context.Context, id spoke.RequestID) error {
	reports, partial := callAll(ctx, s, func(ctx context.Context, client *admin.Client) (spoke.RequestReport, error) {
		return client.Explain(ctx, id)
	})
	if reports == nil {
		return partial
	}
	var lists [][]spoke.Event
	for _, report := range reports {
		lists = append(lists, report.Events)
	}
	merged := events.Merge(lists...)
	if err := s.writeExplanation(id, reports, merged); err != nil {
		return err
	}
	if partial == nil && len(merged) == 0 && !anyState(reports) {
		return eris.Errorf("no host knows request %q", id)
	}
	return partial
}

func (s *session) writeExplanation(id spoke.RequestID, reports []spoke.RequestReport, merged []spoke.Event) error {
	if s.settings.JSON {
		raw, err := encodeExplanation(id, reports, merged)
		if err != nil {
			return err
		}
		return s.writeJSON(raw)
	}
	for _, report := range reports {
		if report.State != "" {
			s.print("request %s is %s on %s\n", id, report.State, report.Host)
		}
	}
	if len(merged) == 0 {
		return nil
	}
	first, last := merged[0], merged[len(merged)-1]
	s.print("request %s: %d events over %v, last: %s\n", id, len(merged),
		time.Duration(last.At.Wall-first.At.Wall), last.Kind)
	s.writeAttempts(merged)
	s.print("\n")
	return events.WriteText(s.output, merged)
}

// writeAttempts lists each attempt once with its first upstream, in causal order.
func (s *session) writeAttempts(merged []spoke.Event) {
	seen := make(map[spoke.AttemptID]bool)
	for _, event := range merged {
		if event.Attempt == "" || event.Upstream == "" || seen[event.Attempt] {
			continue
		}
		seen[event.Attempt] = true
		s.print("attempt %s went to upstream %s\n", event.Attempt, event.Upstream)
	}
}

func anyState(reports []spoke.RequestReport) bool {
	for _, report := range reports {
		if report.State != "" {
			return true
		}
	}
	return false
}
