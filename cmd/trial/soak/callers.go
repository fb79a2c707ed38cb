package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	fake "magnoliaspoke.example/spoke/fake/platform"
)

const (
	// Names of the routes; putConfig sets their kinds.
	chat  = "chat"
	quote = "quote"
	book  = "book"
	look  = "look"

	callerCount = 8
	// callerTimeout is the deadline that callers send with a request.
	callerTimeout = 2500 * time.Millisecond
	callerPause   = 25 * time.Millisecond
	// answerTimeout bounds the wait for an answer and exceeds the time that a host is frozen.
	answerTimeout = 10 * time.Second
)

type (
	// outcome is the result of one call as its caller observed it.
	outcome struct {
		id     string
		host   *host
		route  string
		status int
		sentAt time.Time
		// isCut is set if the connection failed before the end of the answer.
		isCut bool
	}

	// callers send calls and record the outcomes and violations.
	callers struct {
		testbed *testbed

		mu         sync.Mutex
		outcomes   []outcome
		violations []string
		// chains holds the streams that were taken up.
		chains []chain
	}
)

// run sends calls until ctx ends.
func (c *callers) run(ctx context.Context, seed uint64) {
	var group sync.WaitGroup
	for number := range callerCount {
		random := rand.New(rand.NewPCG(seed, uint64(number)))
		group.Go(func() { c.runCaller(ctx, random, number) })
	}
	if c.testbed.hasCrashes {
		random := rand.New(rand.NewPCG(seed, callerCount))
		group.Go(func() { c.runCrashing(ctx, random) })
	}
	if c.testbed.hasVersions {
		for number := range resumingCount {
			random := rand.New(rand.NewPCG(seed, uint64(callerCount+1+number)))
			group.Go(func() { c.runResuming(ctx, random, number) })
		}
	}
	group.Wait()
}

func (c *callers) runCaller(ctx context.Context, random *rand.Rand, number int) {
	// Odd-numbered callers reuse connections until the host closes them.
	client := &http.Client{Timeout: answerTimeout, Transport: &http.Transport{DisableKeepAlives: number%2 == 0}}
	defer client.CloseIdleConnections()
	for count := 0; ctx.Err() == nil; count++ {
		h := c.testbed.hosts[random.IntN(len(c.testbed.hosts))]
		route := []string{chat, quote, book, look}[random.IntN(4)]
		c.call(client, h, route, fmt.Sprintf("r-%d-%d", number, count))
		sleep(ctx, callerPause)
	}
}

// call makes one call and checks its answer.
func (c *callers) call(client *http.Client, h *host, route, id string) outcome {
	var parts []string
	if route == chat || route == quote {
		parts = []string{"aa:100", "bb:150", id[len(id)-1:] + ":50"}
	}
	return c.callPrompt(client, h, route, id, parts)
}

// callPrompt makes one call whose prompt has the given parts, or that has no prompt, and checks its answer.
func (c *callers) callPrompt(client *http.Client, h *host, route, id string, parts []string) outcome {
	result := outcome{id: id, host: h, route: route, sentAt: time.Now()}
	call := fake.Call{
		HostAddress: h.callerAddress, HostName: hostName, Path: "/" + route + "/x", RequestID: id, APIKey: permanentKey, Body: bodyOf(id), Timeout: callerTimeout,
		PrefixHashes: strings.Join(parts, ","),
	}
	request, err := call.Request()
	if err != nil {
		panic(err)
	}
	response, err := client.Do(request)
	if err != nil {
		result.isCut = true
		return c.record(result)
	}
	defer response.Body.Close()
	result.status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	result.isCut = err != nil
	c.checkAnswer(result, response, string(body))
	return c.record(result)
}

func (c *callers) checkAnswer(result outcome, response *http.Response, body string) {
	answer := fake.ResponseOf(response)
	switch {
	case result.status == http.StatusUnauthorized || result.status == http.StatusNotFound || result.status == http.StatusBadRequest:
		c.violationf("%s: a call that every configuration allows got status %d", result.id, result.status)
	case result.status != http.StatusOK:
	case answer.RequestID != result.id:
		c.violationf("%s: got the answer of %s", result.id, answer.RequestID)
	case answer.Engine == "":
		c.violationf("%s: status 200 without the id of the engine", result.id)
	case body == fake.OwnAnswer:
	case result.route == chat || result.route == quote:
		c.checkStream(result, body)
	case !result.isCut && body != fake.WholeAnswer(answer.Engine):
		c.violationf("%s: answer differs from that of the engine: %.80q", result.id, body)
	}
}

func bodyOf(id string) string { return "body of " + id }

// checkStream checks that all events arrived in order, or the first ones if the connection broke.
func (c *callers) checkStream(result outcome, body string) {
	var want strings.Builder
	for id := 1; id <= eventCount; id++ {
		fmt.Fprintf(&want, "id: %d\ndata: piece %d\n\n", id, id)
	}
	if !strings.HasPrefix(want.String(), body) {
		c.violationf("%s: events differ from those of the engine: %.200q", result.id, body)
	}
	if !result.isCut && len(body) < want.Len() {
		c.violationf("%s: a stream that looks complete ends after %d bytes", result.id, len(body))
	}
}

func (c *callers) record(result outcome) outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, result)
	return result
}

func (c *callers) violationf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}
