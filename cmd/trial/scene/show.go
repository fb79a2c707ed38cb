package scene

import (
	"context"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/events"
	"magnoliaspoke.example/spoke/fleet"
)

// eventsTimeout bounds the wait for the events of one host.
const eventsTimeout = 2 * time.Second

// showTimeline logs the merged events of all hosts that answer.
func (s *scenario) showTimeline(t testscript.T) {
	var text strings.Builder
	if err := events.WriteText(&text, events.Merge(s.timelines()...)); err != nil {
		t.Log(err)
	}
	t.Log("time line of the hosts:\n" + text.String())
}

// timelines returns the events of each running host, without hosts that do not answer in time.
func (s *scenario) timelines() [][]spoke.Event {
	var lists [][]spoke.Event
	for _, host := range s.runningHosts() {
		client, err := s.admin(host)
		if err != nil {
			continue
		}
		ctx, cancel := context.WithTimeout(s.ctx, eventsTimeout)
		page, err := client.Events(ctx, spoke.EventFilter{})
		cancel()
		if err == nil {
			lists = append(lists, page.Events)
		}
	}
	return lists
}

func (s *scenario) showLogs(t testscript.T) {
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

// expectEvent holds when a host has recorded an event of a kind whose text matches the pattern.
func (s *scenario) expectEvent(args []string) (condition, error) {
	client, err := s.admin(args[0])
	if err != nil {
		return nil, err
	}
	pattern, err := regexp.Compile(strings.Join(args[2:], " "))
	return func() (bool, bool, string) {
		ctx, cancel := context.WithTimeout(s.ctx, eventsTimeout)
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

// expectEvents holds when a host has recorded at least the given number of events of a kind.
func (s *scenario) expectEvents(args []string) (condition, error) {
	client, err := s.admin(args[0])
	if err != nil {
		return nil, err
	}
	minimum, err := strconv.Atoi(args[2])
	return func() (bool, bool, string) {
		ctx, cancel := context.WithTimeout(s.ctx, eventsTimeout)
		defer cancel()
		page, err := client.Events(ctx, spoke.EventFilter{})
		found := 0
		for _, event := range page.Events {
			if string(event.Kind) == args[1] {
				found++
			}
		}
		return found >= minimum, false, fmt.Sprintf("%d events %s, %v", found, args[1], err)
	}, eris.Wrap(err, "events")
}
