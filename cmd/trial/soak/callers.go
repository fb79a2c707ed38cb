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
)

const (
	chat  = "chat"
	quote = "quote"
	book  = "book"
	look  = "look"

	callerCount = 8
	callerWait  = 2500 * time.Millisecond
	callerPause = 25 * time.Millisecond
	// held is how long after its limit a caller still waits for its final answer before it
	// counts as held back; a frozen host may take longer.
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
	request, err := http.NewRequest(http.MethodPost, "http://"+at.caller+"/"+route+"/x", strings.NewReader("body of "+id))
	if err != nil {
		panic(err)
	}
	request.Host = hostName
	request.Header.Set("Magnoliaspoke-Request-Id", id)
	request.Header.Set("Magnoliaspoke-Deadline-Ms", fmt.Sprint(callerWait.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+steadyKey)
	if route == chat || route == quote {
		request.Header.Set("Magnoliaspoke-Model", "model-a")
		request.Header.Set("Magnoliaspoke-Token-Usage", "300,20")
		request.Header.Set("Magnoliaspoke-Prefix-Hash", "aa:100,bb:150,"+id[len(id)-1:]+":50")
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
	switch {
	case seen.status == http.StatusUnauthorized || seen.status == http.StatusNotFound || seen.status == http.StatusBadRequest:
		c.report("%s: a call that every configuration allows got status %d", seen.id, seen.status)
	case seen.status != http.StatusOK:
	case response.Header.Get("Magnoliaspoke-Request-Id") != seen.id:
		c.report("%s: got the answer of %s", seen.id, response.Header.Get("Magnoliaspoke-Request-Id"))
	case response.Header.Get("Magnoliaspoke-Server-Stamp") == "":
		c.report("%s: success without proof of origin", seen.id)
	case seen.route == chat || seen.route == quote:
		c.checkStream(seen, body)
	case !seen.isCut && body != ownAnswer(response, body):
		c.report("%s: answer is not the engine's: %.80q", seen.id, body)
	}
}

// ownAnswer returns the whole answer that the engine of an answer gives.
func ownAnswer(response *http.Response, body string) string {
	if body == "own answer" {
		return body
	}
	return "whole answer of " + strings.TrimPrefix(response.Header.Get("Magnoliaspoke-Server-Stamp"), "stamp-")
}

// checkStream demands events in order, and all of them unless the stream was visibly cut.
func (c *callers) checkStream(seen outcome, body string) {
	if body == "own answer" {
		return
	}
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
