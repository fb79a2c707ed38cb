package scene

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rotisserie/eris"

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
	for _, centre := range s.setup.Plan().DataCentres {
		for _, upstream := range centre.Upstreams {
			process, err := s.setup.Process(string(upstream.ID))
			if err != nil || upstream.Kind != fleet.KindEngine || !process.Running() {
				continue
			}
			text, err := s.standin(http.MethodGet, string(upstream.ID), "/counters", "")
			var runs engineRuns
			if err != nil || json.Unmarshal(text, &runs) != nil {
				continue
			}
			for _, run := range runs.Runs {
				if strings.HasPrefix(run.Attempt, request+"-") && run.Attempt >= latest {
					latest, engine = run.Attempt, string(upstream.ID)
				}
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
