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

const aliasMark = "@"

// alias gives names to the engine that runs a request now (@engine), to the entry host that
// owns this engine (@owner) and to another host of the owner's data centre (@other).
func (s *stage) alias(ts *testscript.TestScript, _ bool, args []string) {
	want(ts, args, 1, 1, "alias REQUEST")
	s.needSetup(ts)
	current, err := s.exchange(args[0])
	ts.Check(err)
	var engine string
	ts.Check(s.await(func() (bool, string) {
		now := current.progress()
		id := now.header.Get("X-Request-Id")
		if id == "" {
			return now.done, now.String()
		}
		engine = s.engineOf(id)
		return engine != "" || now.done, now.String()
	}))
	if engine == "" {
		ts.Fatalf("no engine runs request %q: %s", args[0], current.progress())
	}
	s.aliases["@engine"] = engine
	ts.Check(s.aliasOwner(engine))
	ts.Logf("%s runs at %s, owned by %s", args[0], engine, s.aliases["@owner"])
}

// aliasEvent names the host whose time line has the last event of a kind, as @last, and another
// host of its data centre, as @other.
func (s *stage) aliasEvent(ts *testscript.TestScript, _ bool, args []string) {
	want(ts, args, 1, 1, "alias-event KIND")
	s.needSetup(ts)
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
	s.aliases["@other"] = s.neighbour(s.aliases["@last"])
	ts.Logf("the last event %s is of host %s", args[0], s.aliases["@last"])
}

// expectLoaded holds when engines report a version of the model, by default all running ones.
func (s *stage) expectLoaded(args []string) (condition, error) {
	return func() (bool, bool, string) {
		for _, engine := range s.engines(args[1:]) {
			text, err := s.standin(http.MethodGet, engine, "/load", "")
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

// expectEnded compares how many engines have died.
func (s *stage) expectEnded(args []string) (condition, error) {
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

func (s *stage) engines(named []string) []string {
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

func (s *stage) aliasOwner(engine string) error {
	for _, host := range s.runningHosts() {
		status, err := s.statusOf(host)
		if err != nil {
			return err
		}
		for _, view := range status.Upstreams {
			if string(view.Upstream.ID) == engine && view.Owner != "" {
				s.aliases["@owner"] = string(view.Owner)
				s.aliases["@other"] = s.neighbour(string(view.Owner))
				return nil
			}
		}
	}
	return eris.Errorf("no host knows the owner of %s", engine)
}

func (s *stage) neighbour(host string) string {
	for _, centre := range s.setup.Plan().DataCentres {
		at := func(other fleet.Host) bool { return string(other.ID) == host }
		if !slices.ContainsFunc(centre.Hosts, at) {
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
func (s *stage) engineOf(request string) string {
	latest, engine := "", ""
	for _, name := range s.engines(nil) {
		text, err := s.standin(http.MethodGet, name, "/counters", "")
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

// resolve returns the name that an alias stands for, and other names as they are.
func (s *stage) resolve(name string) (string, error) {
	if !strings.HasPrefix(name, aliasMark) {
		return name, nil
	}
	if real, ok := s.aliases[name]; ok {
		return real, nil
	}
	return "", eris.Errorf("no alias %q", name)
}
