package scene

import (
	"bytes"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/cmd/trial/load"
	"magnoliaspoke.example/spoke/cmd/trial/plans"
	"magnoliaspoke.example/spoke/ready"
)

const (
	askUsage  = "ask NAME HOST [workspace=N] [seed=N] [bytes=N] [tokens=N] [rank=NAME] [version=NAME] [mark=TEXT]"
	bookUsage = "book NAME HOST KEY [workspace=N] [body=TEXT]"

	defaultTokens = 40
	defaultPrompt = 4096
)

// options are the NAME=VALUE arguments of a command.
type options map[string]string

func readOptions(ts *testscript.TestScript, args []string, usage string, known ...string) options {
	result := make(options)
	for _, text := range args {
		name, value, found := strings.Cut(text, "=")
		if !found || !slices.Contains(known, name) {
			ts.Fatalf("usage: %s", usage)
		}
		result[name] = value
	}
	return result
}

func (o options) text(name, fallback string) string {
	if value, ok := o[name]; ok {
		return value
	}
	return fallback
}

func (o options) number(ts *testscript.TestScript, name string, fallback int) int {
	text, ok := o[name]
	if !ok {
		return fallback
	}
	number, err := strconv.Atoi(text)
	ts.Check(eris.Wrap(err, name))
	return number
}

// ask sends a language request; expect whole and audit compare its answer with the expected text
// byte for byte.
func (s *scenario) ask(ts *testscript.TestScript, _ bool, args []string) {
	checkArgs(ts, args, 2, math.MaxInt, askUsage)
	s.requireSetup(ts)
	set := readOptions(ts, args[2:], askUsage, "workspace", "seed", "bytes", "tokens", "rank", "version", "mark")
	workspace := plans.WorkspaceID(set.number(ts, "workspace", 0))
	ask := load.Request{
		Key:       plans.Key(workspace),
		Model:     plans.Model,
		Rank:      spoke.RankName(set.text("rank", string(plans.RankNormal))),
		Prompt:    load.Prompt(uint64(set.number(ts, "seed", 1)), spoke.ByteSize(set.number(ts, "bytes", defaultPrompt))),
		MaxTokens: spoke.TokenCount(set.number(ts, "tokens", defaultTokens)),
		Versions:  []spoke.ModelVersion{spoke.ModelVersion(set.text("version", string(plans.FirstVersion)))},
	}
	ask.Prompt += set.text("mark", "")
	body, err := load.Encode(ask)
	ts.Check(err)
	request := s.callerRequest(ts, args[1], http.MethodPost, "/v1/completions", body)
	request.Header.Set("Authorization", "Bearer "+ask.Key)
	request.Header.Set("X-Spoke-Rank", string(ask.Rank))
	s.launchExchange(ts, args[0], request, &exchange{ask: &ask, workspace: workspace})
}

// book sends a non-repeatable call, a booking, with an idempotency key.
func (s *scenario) book(ts *testscript.TestScript, _ bool, args []string) {
	checkArgs(ts, args, 3, 5, bookUsage)
	s.requireSetup(ts)
	set := readOptions(ts, args[3:], bookUsage, "workspace", "body")
	path := "/services/" + string(plans.Booking) + "/bookings"
	request := s.callerRequest(ts, args[1], http.MethodPost, path, []byte(set.text("body", "feather dusters")))
	request.Header.Set("Authorization", "Bearer "+plans.Key(plans.WorkspaceID(set.number(ts, "workspace", 0))))
	request.Header.Set("Idempotency-Key", args[2])
	s.launchExchange(ts, args[0], request, &exchange{})
}

func (s *scenario) callerRequest(ts *testscript.TestScript, host, method, path string, body []byte) *http.Request {
	address, err := s.address(host, ready.Caller)
	ts.Check(err)
	request, err := http.NewRequestWithContext(s.ctx, method, "http://"+string(address)+path, bytes.NewReader(body))
	ts.Check(err)
	return request
}

// launchExchange sends a request under a name that is not in use, so that audit checks all requests.
func (s *scenario) launchExchange(ts *testscript.TestScript, name string, request *http.Request, current *exchange) {
	if _, used := s.requests[name]; used {
		ts.Fatalf("request name %q was used before", name)
	}
	current.key, current.credential = request.Header.Get("Idempotency-Key"), request.Header.Get("Authorization")
	s.requests[name] = current
	go current.run(request)
}

func (p progress) answer(ask load.Request) load.Answer {
	return load.ReadAnswer(ask, p.status, strings.NewReader(p.body))
}

func (s *scenario) languageCondition(name string, holds func(progress, load.Answer) bool) (condition, error) {
	current, err := s.exchange(name)
	if err != nil {
		return nil, err
	}
	if current.ask == nil {
		return nil, eris.Errorf("request %q is not a language request", name)
	}
	return func() (bool, bool, string) {
		state := current.progress()
		answer := state.answer(*current.ask)
		return holds(state, answer), state.done, fmt.Sprintf("%s, check: %s, cached %d", state, describeCheck(answer), answer.Usage.Cached)
	}, nil
}

func describeCheck(answer load.Answer) string {
	if answer.Err != nil {
		return answer.Err.Error()
	}
	if answer.Refusal != nil {
		return answer.Refusal.Error()
	}
	return "whole"
}

// expectWhole holds when an answer has ended with its end marker and has the expected text.
func (s *scenario) expectWhole(args []string) (condition, error) {
	return s.languageCondition(args[0], func(state progress, answer load.Answer) bool {
		return state.done && state.err == nil && answer.IsServed()
	})
}

// expectTokens holds when at least the given number of tokens has arrived.
func (s *scenario) expectTokens(args []string) (condition, error) {
	count, err := strconv.Atoi(args[1])
	if err != nil {
		return nil, eris.Wrap(err, "tokens")
	}
	return s.languageCondition(args[0], func(_ progress, answer load.Answer) bool { return int(answer.Tokens) >= count })
}

// expectUnfinished holds when an answer has ended in a way that its caller can detect: without
// an end marker and with a broken connection.
func (s *scenario) expectUnfinished(args []string) (condition, error) {
	return s.languageCondition(args[0], func(state progress, answer load.Answer) bool {
		return state.done && state.err != nil && !answer.IsServed()
	})
}

// expectCached holds when a complete answer reports the given number of cached prompt tokens.
func (s *scenario) expectCached(args []string) (condition, error) {
	count, err := strconv.Atoi(args[1])
	if err != nil {
		return nil, eris.Wrap(err, "cached tokens")
	}
	return s.languageCondition(args[0], func(state progress, answer load.Answer) bool {
		return state.done && answer.IsServed() && int(answer.Usage.Cached) == count
	})
}
