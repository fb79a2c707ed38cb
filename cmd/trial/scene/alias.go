package scene

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/cmd/trial/plans"
	"magnoliaspoke.example/spoke/events"
	"magnoliaspoke.example/spoke/fleet"
)

const aliasPrefix = "@"

// alias defines aliases for the engine that currently runs a request (@engine), for the entry
// host that owns this engine (@owner) and for another host of the owner's data centre (@other).
func (s *scenario) alias(ts *testscript.TestScript, _ bool, args []string) {
	checkArgs(ts, args, 1, 1, "alias REQUEST")
	s.requireSetup(ts)
	current, err := s.exchange(args[0])
	ts.Check(err)
	var engine string
	ts.Check(s.await(func() (bool, string) {
		state := current.progress()
		id := state.header.Get("X-Request-Id")
		if id == "" {
			return state.done, state.String()
		}
		engine = s.engineOf(id)
		return engine != "" || state.done, state.String()
	}))
	if engine == "" {
		ts.Fatalf("no engine runs request %q: %s", args[0], current.progress())
	}
	s.aliases["@engine"] = engine
	ts.Check(s.aliasOwner(engine))
	ts.Logf("%s runs at %s, owned by %s", args[0], engine, s.aliases["@owner"])
}

// aliasEvent defines aliases for the host that recorded the last event of a kind (@last) and for
// another host of its data centre (@other).
func (s *scenario) aliasEvent(ts *testscript.TestScript, _ bool, args []string) {
	checkArgs(ts, args, 1, 1, "alias-event KIND")
	s.requireSetup(ts)
	ts.Check(s.await(func() (bool, string) {
		var latest spoke.Event
		for _, event := range events.Merge(s.timelines()...) {
			if string(event.Kind) == args[0] {
				latest = event
			}
		}
		s.aliases["@last"] = string(latest.Host)
		return latest.Host != "", "no event " + args[0]
	}))
	s.aliases["@other"] = s.otherHost(s.aliases["@last"])
	ts.Logf("the last event %s was recorded by host %s", args[0], s.aliases["@last"])
}

// expectLoaded holds when the named engines, or all running ones, report a version of the model.
func (s *scenario) expectLoaded(args []string) (condition, error) {
	return func() (bool, bool, string) {
		for _, engine := range s.selectEngines(args[1:]) {
			text, err := s.callStandin(http.MethodGet, engine, "/load", "")
			var load engineLoad
			if err == nil {
				err = json.Unmarshal(text, &load)
			}
			if got := load.Versions[string(plans.Model)]; err != nil || got != args[0] {
				return false, false, fmt.Sprintf("%s has version %q, %v", engine, got, err)
			}
		}
		return true, false, "version " + args[0]
	}, nil
}

// expectEnded holds when the given number of upstream processes have ended.
func (s *scenario) expectEnded(args []string) (condition, error) {
	wanted, err := strconv.Atoi(args[0])
	return func() (bool, bool, string) {
		ended := 0
		for _, centre := range s.setup.Plan().DataCentres {
			for _, upstream := range centre.Upstreams {
				if process, err := s.setup.Process(string(upstream.ID)); err == nil && !process.Running() {
					ended++
				}
			}
		}
		return ended == wanted, false, fmt.Sprintf("%d engines have ended", ended)
	}, eris.Wrap(err, "engines")
}

func (s *scenario) selectEngines(named []string) []string {
	if len(named) > 0 {
		return named
	}
	var running []string
	for _, centre := range s.setup.Plan().DataCentres {
		for _, upstream := range centre.Upstreams {
			process, err := s.setup.Process(string(upstream.ID))
			if err == nil && upstream.Kind == fleet.KindEngine && process.Running() {
				running = append(running, string(upstream.ID))
			}
		}
	}
	return running
}

func (s *scenario) aliasOwner(engine string) error {
	for _, host := range s.runningHosts() {
		status, err := s.statusOf(host)
		if err != nil {
			return err
		}
		for _, view := range status.Upstreams {
			if string(view.Upstream.ID) == engine && view.Owner != "" {
				s.aliases["@owner"] = string(view.Owner)
				s.aliases["@other"] = s.otherHost(string(view.Owner))
				return nil
			}
		}
	}
	return eris.Errorf("no host reports an owner of engine %s", engine)
}

func (s *scenario) otherHost(host string) string {
	for _, centre := range s.setup.Plan().DataCentres {
		isHost := func(other fleet.Host) bool { return string(other.ID) == host }
		if !slices.ContainsFunc(centre.Hosts, isHost) {
			continue
		}
		for _, other := range centre.Hosts {
			if string(other.ID) != host {
				return string(other.ID)
			}
		}
	}
	return ""
}

// engineOf returns the engine that started the last attempt of a request.
func (s *scenario) engineOf(request string) string {
	latest, engine := "", ""
	for _, name := range s.selectEngines(nil) {
		text, err := s.callStandin(http.MethodGet, name, "/counters", "")
		var runs engineRuns
		if err != nil || json.Unmarshal(text, &runs) != nil {
			continue
		}
		for _, run := range runs.Runs {
			if strings.HasPrefix(run.Attempt, request+"-") && run.Attempt >= latest {
				latest, engine = run.Attempt, name
			}
		}
	}
	return engine
}

// resolve returns the name that an alias stands for, and any other name unchanged.
func (s *scenario) resolve(name string) (string, error) {
	if !strings.HasPrefix(name, aliasPrefix) {
		return name, nil
	}
	if target, ok := s.aliases[name]; ok {
		return target, nil
	}
	return "", eris.Errorf("no alias %q", name)
}
