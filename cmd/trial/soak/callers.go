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
	chat  = "chat"
	quote = "quote"
	book  = "book"
	look  = "look"

	callerCount = 8
	callerWait  = 2500 * time.Millisecond
	callerPause = 25 * time.Millisecond
	// answerLimit is how long a caller waits for the answer of a host that may be frozen.
	answerLimit = 10 * time.Second
)

type (
	// outcome is what a caller saw of one call.
	outcome struct {
		id     string
		route  string
		status int
		isCut  bool
	}

	// callers send calls and keep what they saw.
	callers struct {
		world *world

		mu       sync.Mutex
		outcomes []outcome
		broken   []string
	}
)

// run sends calls until ctx ends.
func (c *callers) run(ctx context.Context, seed uint64) {
	var group sync.WaitGroup
	for number := range callerCount {
		random := rand.New(rand.NewPCG(seed, uint64(number)))
		group.Go(func() { c.loop(ctx, random, number) })
	}
	group.Wait()
}

func (c *callers) loop(ctx context.Context, random *rand.Rand, number int) {
	// Every second caller keeps its connections open as long as the host does.
	client := &http.Client{Timeout: answerLimit, Transport: &http.Transport{DisableKeepAlives: number%2 == 0}}
	defer client.CloseIdleConnections()
	for count := 0; ctx.Err() == nil; count++ {
		at := c.world.hosts[random.IntN(len(c.world.hosts))]
		route := []string{chat, quote, book, look}[random.IntN(4)]
		c.call(client, at, route, fmt.Sprintf("r-%d-%d", number, count))
		sleep(ctx, callerPause)
	}
}

// call makes one call and checks its answer.
func (c *callers) call(client *http.Client, at *host, route, id string) outcome {
	seen := outcome{id: id, route: route}
	call := fake.Call{
		HostAddress: at.caller, HostName: hostName, Path: "/" + route + "/x", RequestID: id, APIKey: steadyKey, Body: bodyOf(id), Timeout: callerWait,
	}
	if route == chat || route == quote {
		call.PrefixHashes = "aa:100,bb:150," + id[len(id)-1:] + ":50"
	}
	request, err := call.Request()
	if err != nil {
		panic(err)
	}
	response, err := client.Do(request)
	if err != nil {
		seen.isCut = true
		return c.keep(seen)
	}
	defer response.Body.Close()
	seen.status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	seen.isCut = err != nil
	c.check(seen, response, string(body))
	return c.keep(seen)
}

func (c *callers) check(seen outcome, response *http.Response, body string) {
	answer := fake.ResponseOf(response)
	switch {
	case seen.status == http.StatusUnauthorized || seen.status == http.StatusNotFound || seen.status == http.StatusBadRequest:
		c.report("%s: a call that every configuration allows got status %d", seen.id, seen.status)
	case seen.status != http.StatusOK:
	case answer.RequestID != seen.id:
		c.report("%s: got the answer of %s", seen.id, answer.RequestID)
	case answer.Engine == "":
		c.report("%s: success without proof of origin", seen.id)
	case body == fake.OwnAnswer:
	case seen.route == chat || seen.route == quote:
		c.checkStream(seen, body)
	case !seen.isCut && body != fake.WholeAnswer(answer.Engine):
		c.report("%s: answer is not the engine's: %.80q", seen.id, body)
	}
}

func bodyOf(id string) string { return "body of " + id }

// checkStream demands events in order, and all of them unless the stream was visibly cut.
func (c *callers) checkStream(seen outcome, body string) {
	var want strings.Builder
	for id := 1; id <= eventCount; id++ {
		fmt.Fprintf(&want, "id: %d\ndata: piece %d\n\n", id, id)
	}
	if !strings.HasPrefix(want.String(), body) {
		c.report("%s: events are wrong: %.200q", seen.id, body)
	}
	if !seen.isCut && len(body) < want.Len() {
		c.report("%s: a stream that looks complete ends after %d bytes", seen.id, len(body))
	}
}

func (c *callers) keep(seen outcome) outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, seen)
	return seen
}

func (c *callers) report(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}
