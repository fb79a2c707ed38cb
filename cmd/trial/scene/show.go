package scene

import (
	"context"
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/events"
	"magnoliaspoke.example/spoke/fleet"
)

// showLimit bounds the wait for the events of one host.
const showLimit = 2 * time.Second

// showTimeline prints the merged events of all hosts that still answer.
func (s *stage) showTimeline(t testscript.T) {
	var text strings.Builder
	if err := events.WriteText(&text, events.Merge(s.timelines()...)); err != nil {
		t.Log(err)
	}
	t.Log("time line of the hosts:\n" + text.String())
}

// timelines reads the events of the hosts; one that does not answer in time gives none.
func (s *stage) timelines() [][]spoke.Event {
	var lists [][]spoke.Event
	for _, host := range s.runningHosts() {
		client, err := s.admin(host)
		if err != nil {
			continue
		}
		ctx, cancel := context.WithTimeout(s.ctx, showLimit)
		page, err := client.Events(ctx, spoke.EventFilter{})
		cancel()
		if err == nil {
			lists = append(lists, page.Events)
		}
	}
	return lists
}

func (s *stage) showLogs(t testscript.T) {
	plan := s.setup.Plan()
	names := []string{fleet.PlatformName}
	for _, centre := range plan.DataCentres {
		for _, host := range centre.Hosts {
			names = append(names, string(host.ID))
		}
		for _, upstream := range centre.Upstreams {
			names = append(names, string(upstream.ID))
		}
		for _, store := range centre.Stores {
			names = append(names, string(store.ID))
		}
	}
	for _, name := range names {
		if process, err := s.setup.Process(name); err == nil {
			t.Log("log of " + name + " ends with:\n" + process.LogTail())
		}
	}
}

// expectEvent looks for an event of a kind on a host's time line.
func (s *stage) expectEvent(args []string) (condition, error) {
	client, err := s.admin(args[0])
	if err != nil {
		return nil, err
	}
	pattern, err := regexp.Compile(strings.Join(args[2:], " "))
	return func() (bool, bool, string) {
		ctx, cancel := context.WithTimeout(s.ctx, showLimit)
		defer cancel()
		page, err := client.Events(ctx, spoke.EventFilter{})
		for _, event := range page.Events {
			var text strings.Builder
			if string(event.Kind) == args[1] && events.WriteText(&text, []spoke.Event{event}) == nil && pattern.MatchString(text.String()) {
				return true, false, text.String()
			}
		}
		return false, false, fmt.Sprintf("no event %s among %d, %v", args[1], len(page.Events), err)
	}, eris.Wrap(err, "pattern")
}
