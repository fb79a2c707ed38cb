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

// post sends a POST request to a stand-in, for example to set its faults, to drain it or to set the
// platform's list of hosts.
func (s *scenario) post(ts *testscript.TestScript, neg bool, args []string) {
	checkArgs(ts, args, 2, 3, "post STANDIN PATH [JSON]")
	s.requireSetup(ts)
	body := "{}"
	if len(args) > 2 {
		body = args[2]
	}
	name, err := s.resolve(args[0])
	ts.Check(err)
	_, err = s.callStandin(http.MethodPost, name, args[1], body)
	checkOutcome(ts, neg, err)
}

func (s *scenario) callStandin(method, name, path, body string) ([]byte, error) {
	address, err := s.address(name, ready.Service)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(s.ctx, stepTimeout)
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

// free deletes the blocks of a request's prompt from a store host.
func (s *scenario) free(ts *testscript.TestScript, neg bool, args []string) {
	checkArgs(ts, args, 2, 2, "free STORE REQUEST")
	s.requireSetup(ts)
	current, err := s.exchange(args[1])
	ts.Check(err)
	scope := cache.Scope{
		Service: plans.Language, Workspace: current.workspace,
		Model: current.ask.Model, Version: current.ask.Versions[0],
	}
	for _, key := range scope.Keys(current.ask.Prompt) {
		_, err := s.callStandin(http.MethodDelete, args[0], "/blocks/"+key.String(), "")
		checkOutcome(ts, neg, err)
	}
}

// eachCounter reads the counters at path from every running stand-in of a kind and passes them to
// add.
func eachCounter[T any](s *scenario, kind fleet.StandinKind, path string, add func(T)) error {
	for _, centre := range s.setup.Plan().DataCentres {
		for _, upstream := range centre.Upstreams {
			process, err := s.setup.Process(string(upstream.ID))
			if err != nil || upstream.Kind != kind || !process.Running() {
				continue
			}
			text, err := s.callStandin(http.MethodGet, string(upstream.ID), path, "")
			if err != nil {
				return err
			}
			var counters T
			if err := json.Unmarshal(text, &counters); err != nil {
				return eris.Wrapf(err, "counters of %s", upstream.ID)
			}
			add(counters)
		}
	}
	return nil
}

func (s *scenario) runsOfKey(key string) (int, error) {
	total := 0
	err := eachCounter(s, fleet.KindPlain, "/runs", func(runs plainRuns) { total += runs.ByKey[key] })
	return total, err
}

// runsByAttempt counts the runs of each attempt over all plain and engine stand-ins.
func (s *scenario) runsByAttempt() (map[string]int, error) {
	result := make(map[string]int)
	err := eachCounter(s, fleet.KindPlain, "/runs", func(runs plainRuns) {
		for attempt, times := range runs.ByAttempt {
			result[attempt] += times
		}
	})
	if err != nil {
		return nil, err
	}
	err = eachCounter(s, fleet.KindEngine, "/counters", func(runs engineRuns) {
		for _, run := range runs.Runs {
			result[run.Attempt]++
		}
	})
	return result, err
}

// expectRuns holds when calls with an idempotency key ran the given number of times over all plain
// stand-ins.
func (s *scenario) expectRuns(args []string) (condition, error) {
	wanted, err := strconv.Atoi(args[1])
	return func() (bool, bool, string) {
		got, err := s.runsOfKey(args[0])
		return err == nil && got == wanted, got > wanted, fmt.Sprintf("key %s ran %d times, %v", args[0], got, err)
	}, eris.Wrap(err, "runs")
}

// expectRan holds when a stand-in has started the given number of runs.
func (s *scenario) expectRan(args []string) (condition, error) {
	wanted, err := strconv.Atoi(args[1])
	return func() (bool, bool, string) {
		got, err := s.runsStarted(args[0])
		return err == nil && got == wanted, got > wanted, fmt.Sprintf("%s ran %d times, %v", args[0], got, err)
	}, eris.Wrap(err, "runs")
}

func (s *scenario) runsStarted(name string) (int, error) {
	path := "/runs"
	if s.kindOf(name) == fleet.KindEngine {
		path = "/counters"
	}
	text, err := s.callStandin(http.MethodGet, name, path, "")
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

// expectBusy holds while transfers are queued for the link of a store host.
func (s *scenario) expectBusy(args []string) (condition, error) {
	return func() (bool, bool, string) {
		text, err := s.callStandin(http.MethodGet, args[0], "/usage", "")
		var usage storeUsage
		if err == nil {
			err = json.Unmarshal(text, &usage)
		}
		return err == nil && usage.Queue > 0, false, fmt.Sprintf("%s has %d bytes waiting, %v", args[0], usage.Queue, err)
	}, nil
}

func (s *scenario) kindOf(name string) fleet.StandinKind {
	for _, centre := range s.setup.Plan().DataCentres {
		for _, upstream := range centre.Upstreams {
			if string(upstream.ID) == name {
				return upstream.Kind
			}
		}
	}
	return ""
}

// expectRefused holds when a request was refused with a code and an outcome; with the outcome
// not-run, no stand-in may have run an attempt of the request.
func (s *scenario) expectRefused(args []string) (condition, error) {
	return s.answerCondition(args[0], func(state progress) bool {
		refusal := state.refusal()
		return refusal != nil && string(refusal.Code) == args[1] && string(refusal.Outcome) == args[2] &&
			s.checkNotRun(state) == nil
	})
}

func (p progress) refusal() *spoke.Refusal {
	if !p.done || p.status < http.StatusBadRequest {
		return nil
	}
	return load.ReadAnswer(load.Request{}, p.status, strings.NewReader(p.body)).Refusal
}

// checkNotRun returns an error if a request was refused as not-run although a stand-in ran an
// attempt of it.
func (s *scenario) checkNotRun(state progress) error {
	refusal := state.refusal()
	if refusal == nil || refusal.Outcome != spoke.OutcomeNotRun {
		return nil
	}
	attempts, err := s.runsByAttempt()
	if err != nil {
		return err
	}
	id := state.header.Get("X-Request-Id")
	if id == "" {
		return eris.Errorf("refusal without a request id: %s", state)
	}
	for attempt, times := range attempts {
		if strings.HasPrefix(attempt, id+"-") {
			return eris.Errorf("request %s was refused as not-run, but attempt %s ran %d times", id, attempt, times)
		}
	}
	return nil
}
