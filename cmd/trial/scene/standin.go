package scene

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/cache"
	"magnoliaspoke.example/spoke/cmd/trial/load"
	"magnoliaspoke.example/spoke/cmd/trial/plans"
	"magnoliaspoke.example/spoke/fleet"
	"magnoliaspoke.example/spoke/ready"
)

// post sends a body to a stand-in, such as faults, a drain signal or the list of hosts.
func (s *stage) post(ts *testscript.TestScript, neg bool, args []string) {
	want(ts, args, 2, 3, "post STANDIN PATH [JSON]")
	s.needSetup(ts)
	body := "{}"
	if len(args) > 2 {
		body = args[2]
	}
	name, err := s.resolve(args[0])
	ts.Check(err)
	_, err = s.standin(http.MethodPost, name, args[1], body)
	check(ts, neg, err)
}

func (s *stage) standin(method, name, path, body string) ([]byte, error) {
	address, err := s.address(name, ready.Service)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(s.ctx, stepLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+string(address)+path, strings.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, name)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, name)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode >= http.StatusBadRequest {
		err = eris.Errorf("%s answered %d: %s", name, response.StatusCode, text)
	}
	return text, eris.Wrap(err, name)
}

// free deletes the blocks of a request's prompt at a store host.
func (s *stage) free(ts *testscript.TestScript, neg bool, args []string) {
	want(ts, args, 2, 2, "free STORE REQUEST")
	s.needSetup(ts)
	current, err := s.exchange(args[1])
	ts.Check(err)
	scope := cache.Scope{
		Service: plans.Language, Workspace: current.workspace,
		Model: current.ask.Model, Version: current.ask.Versions[0],
	}
	for _, key := range scope.Keys(current.ask.Prompt) {
		_, err := s.standin(http.MethodDelete, args[0], "/blocks/"+key.String(), "")
		check(ts, neg, err)
	}
}

// count reads a counter of every running stand-in of a kind.
func count[T any](s *stage, kind fleet.StandinKind, path string, add func(T)) error {
	for _, centre := range s.setup.Plan().DataCentres {
		for _, upstream := range centre.Upstreams {
			process, err := s.setup.Process(string(upstream.ID))
			if err != nil || upstream.Kind != kind || !process.Running() {
				continue
			}
			text, err := s.standin(http.MethodGet, string(upstream.ID), path, "")
			if err != nil {
				return err
			}
			var counted T
			if err := json.Unmarshal(text, &counted); err != nil {
				return eris.Wrapf(err, "counters of %s", upstream.ID)
			}
			add(counted)
		}
	}
	return nil
}

func (s *stage) runsOfKey(key string) (int, error) {
	total := 0
	err := count(s, fleet.KindPlain, "/runs", func(runs plainRuns) { total += runs.ByKey[key] })
	return total, err
}

// attempts counts how often each attempt ran at any stand-in.
func (s *stage) attempts() (map[string]int, error) {
	result := make(map[string]int)
	err := count(s, fleet.KindPlain, "/runs", func(runs plainRuns) {
		for attempt, times := range runs.ByAttempt {
			result[attempt] += times
		}
	})
	if err != nil {
		return nil, err
	}
	err = count(s, fleet.KindEngine, "/counters", func(runs engineRuns) {
		for _, run := range runs.Runs {
			result[run.Attempt]++
		}
	})
	return result, err
}

// expectRuns compares how often calls with an idempotency key ran at all plain stand-ins.
func (s *stage) expectRuns(args []string) (condition, error) {
	wanted, err := strconv.Atoi(args[1])
	return func() (bool, bool, string) {
		got, err := s.runsOfKey(args[0])
		return err == nil && got == wanted, got > wanted, fmt.Sprintf("key %s ran %d times, %v", args[0], got, err)
	}, eris.Wrap(err, "runs")
}

// expectRan compares how many runs one stand-in has started.
func (s *stage) expectRan(args []string) (condition, error) {
	wanted, err := strconv.Atoi(args[1])
	return func() (bool, bool, string) {
		got, err := s.started(args[0])
		return err == nil && got == wanted, got > wanted, fmt.Sprintf("%s ran %d times, %v", args[0], got, err)
	}, eris.Wrap(err, "runs")
}

func (s *stage) started(name string) (int, error) {
	path := "/runs"
	if s.kindOf(name) == fleet.KindEngine {
		path = "/counters"
	}
	text, err := s.standin(http.MethodGet, name, path, "")
	if err != nil {
		return 0, err
	}
	var runs struct {
		plainRuns
		engineRuns
	}
	err = json.Unmarshal(text, &runs)
	return runs.Total + runs.Started, eris.Wrap(err, name)
}

// expectBusy holds while transfers wait for the link of a store host.
func (s *stage) expectBusy(args []string) (condition, error) {
	return func() (bool, bool, string) {
		text, err := s.standin(http.MethodGet, args[0], "/usage", "")
		var usage storeUsage
		if err == nil {
			err = json.Unmarshal(text, &usage)
		}
		return err == nil && usage.Queue > 0, false, fmt.Sprintf("%s has %d bytes waiting, %v", args[0], usage.Queue, err)
	}, nil
}

func (s *stage) kindOf(name string) fleet.StandinKind {
	for _, centre := range s.setup.Plan().DataCentres {
		for _, upstream := range centre.Upstreams {
			if string(upstream.ID) == name {
				return upstream.Kind
			}
		}
	}
	return ""
}

// expectRefused holds when a request was refused with a code and an outcome; where the
// outcome is not-run, no stand-in may have run an attempt of it.
func (s *stage) expectRefused(args []string) (condition, error) {
	return s.watch(args[0], func(now progress) bool {
		refusal := now.refusal()
		return refusal != nil && string(refusal.Code) == args[1] && string(refusal.Outcome) == args[2] &&
			s.truthful(now) == nil
	})
}

func (p progress) refusal() *spoke.Refusal {
	if !p.done || p.status < http.StatusBadRequest {
		return nil
	}
	return load.ReadAnswer(load.Request{}, p.status, strings.NewReader(p.body)).Refusal
}

// truthful compares a refusal that says not-run with the counts of the stand-ins.
func (s *stage) truthful(now progress) error {
	refusal := now.refusal()
	if refusal == nil || refusal.Outcome != spoke.OutcomeNotRun {
		return nil
	}
	attempts, err := s.attempts()
	if err != nil {
		return err
	}
	id := now.header.Get("X-Request-Id")
	if id == "" {
		return eris.Errorf("refusal without a request id: %s", now)
	}
	for attempt, times := range attempts {
		if strings.HasPrefix(attempt, id+"-") {
			return eris.Errorf("request %s was refused as not-run, but attempt %s ran %d times", id, attempt, times)
		}
	}
	return nil
}
