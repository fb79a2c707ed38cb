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

// ask sends a language request whose answer is checked byte for byte by expect whole and
// audit.
func (s *stage) ask(ts *testscript.TestScript, _ bool, args []string) {
	want(ts, args, 2, math.MaxInt, askUsage)
	s.needSetup(ts)
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

// book sends a non-repeatable call with an idempotency key.
func (s *stage) book(ts *testscript.TestScript, _ bool, args []string) {
	want(ts, args, 3, 5, bookUsage)
	s.needSetup(ts)
	set := readOptions(ts, args[3:], bookUsage, "workspace", "body")
	path := "/services/" + string(plans.Booking) + "/bookings"
	request := s.callerRequest(ts, args[1], http.MethodPost, path, []byte(set.text("body", "feather dusters")))
	request.Header.Set("Authorization", "Bearer "+plans.Key(plans.WorkspaceID(set.number(ts, "workspace", 0))))
	request.Header.Set("Idempotency-Key", args[2])
	s.launchExchange(ts, args[0], request, &exchange{})
}

func (s *stage) callerRequest(ts *testscript.TestScript, host, method, path string, body []byte) *http.Request {
	address, err := s.address(host, ready.Caller)
	ts.Check(err)
	request, err := http.NewRequestWithContext(s.ctx, method, "http://"+string(address)+path, bytes.NewReader(body))
	ts.Check(err)
	return request
}

// launchExchange sends a request under a new name, so that an audit finds all of them.
func (s *stage) launchExchange(ts *testscript.TestScript, name string, request *http.Request, current *exchange) {
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

func (s *stage) language(name string, holds func(progress, load.Answer) bool) (condition, error) {
	current, err := s.exchange(name)
	if err != nil {
		return nil, err
	}
	if current.ask == nil {
		return nil, eris.Errorf("request %q is no language request", name)
	}
	return func() (bool, bool, string) {
		now := current.progress()
		answer := now.answer(*current.ask)
		return holds(now, answer), now.done, fmt.Sprintf("%s, check: %s, cached %d", now, checked(answer), answer.Usage.Cached)
	}, nil
}

func checked(answer load.Answer) string {
	if answer.Err != nil {
		return answer.Err.Error()
	}
	if answer.Refusal != nil {
		return answer.Refusal.Error()
	}
	return "whole"
}

// expectWhole holds when an answer has ended with its end mark and is the engine's fixed text.
func (s *stage) expectWhole(args []string) (condition, error) {
	return s.language(args[0], func(now progress, answer load.Answer) bool {
		return now.done && now.err == nil && answer.IsServed()
	})
}

// expectTokens holds when at least the number of tokens has arrived.
func (s *stage) expectTokens(args []string) (condition, error) {
	count, err := strconv.Atoi(args[1])
	if err != nil {
		return nil, eris.Wrap(err, "tokens")
	}
	return s.language(args[0], func(_ progress, answer load.Answer) bool { return int(answer.Tokens) >= count })
}

// expectUnfinished holds when an answer has ended in a way that its caller must see: no end
// mark and a broken connection.
func (s *stage) expectUnfinished(args []string) (condition, error) {
	return s.language(args[0], func(now progress, answer load.Answer) bool {
		return now.done && now.err != nil && !answer.IsServed()
	})
}

// expectCached compares the cached prompt tokens of a whole answer.
func (s *stage) expectCached(args []string) (condition, error) {
	count, err := strconv.Atoi(args[1])
	if err != nil {
		return nil, eris.Wrap(err, "cached tokens")
	}
	return s.language(args[0], func(now progress, answer load.Answer) bool {
		return now.done && answer.IsServed() && int(answer.Usage.Cached) == count
	})
}
