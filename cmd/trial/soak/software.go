package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"

	fake "magnoliaspoke.example/spoke/fake/platform"
)

const (
	// resumed is the route under which calls that take a stream up are counted.
	resumed       = "resumed"
	resumingCount = 4
	// maxResumptions is how often a caller takes a stream up.
	maxResumptions = 3
)

// chain is a stream with the calls over which it goes on.
type chain struct {
	// engine began the stream.
	engine string
	ids    []string
}

// runResuming begins streams, breaks them off and takes them up at other hosts until ctx ends.
func (c *callers) runResuming(ctx context.Context, random *rand.Rand, number int) {
	client := &http.Client{Timeout: answerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for count := 0; ctx.Err() == nil; count++ {
		c.resumeStream(client, random, fmt.Sprintf("s-%d-%d", number, count))
		sleep(ctx, callerPause)
	}
}

// resumeStream begins a stream, and takes it up after its first event until it is complete.
func (c *callers) resumeStream(client *http.Client, random *rand.Rand, id string) {
	first := c.streamCall(random, id)
	engine, last := c.readEvents(client, first, 0, 1+random.IntN(eventCount-1))
	if last == 0 {
		return
	}
	begun := chain{engine: engine, ids: []string{id}}
	for try := 0; try < maxResumptions && last < eventCount; try++ {
		again := c.streamCall(random, fmt.Sprintf("%s-%d", id, try))
		again.Resumes, again.LastEventID = id, fmt.Sprint(last)
		begun.ids = append(begun.ids, again.RequestID)
		_, last = c.readEvents(client, again, last, 1+random.IntN(eventCount))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.chains = append(c.chains, begun)
}

func (c *callers) streamCall(random *rand.Rand, id string) fake.Call {
	h := c.testbed.hosts[random.IntN(len(c.testbed.hosts))]
	return fake.Call{
		HostAddress: h.callerAddress, HostName: hostName, Path: "/" + chat + "/x", RequestID: id, APIKey: permanentKey, Body: bodyOf(id), Timeout: callerTimeout,
		PrefixHashes: strings.Join([]string{id + "a:250", id + "b:50"}, ","),
	}
}

// readEvents makes a call, reads a number of events after the given one and closes the connection. It returns the
// engine that the answer names and the last event.
func (c *callers) readEvents(client *http.Client, call fake.Call, last, count int) (engine string, event int) {
	result := outcome{id: call.RequestID, route: chat}
	if call.Resumes != "" {
		result.route = resumed
	}
	request, err := call.Request()
	if err != nil {
		panic(err)
	}
	response, err := client.Do(request)
	if err != nil {
		result.isCut = true
		c.record(result)
		return "", last
	}
	defer response.Body.Close()
	result.status = response.StatusCode
	c.record(result)
	if result.status != http.StatusOK {
		return "", last
	}
	body := bufio.NewReader(response.Body)
	for range count {
		want := fmt.Sprintf("id: %d\ndata: piece %d\n\n", last+1, last+1)
		got := make([]byte, len(want))
		if _, err := io.ReadFull(body, got); err != nil {
			break
		}
		if string(got) != want {
			c.violationf("%s: event differs from that of the engine: %.80q", call.RequestID, got)
			break
		}
		last++
	}
	return fake.ResponseOf(response).Engine, last
}

// checkSoftware checks that no stream went on at an engine of another software version than the one that began it.
func (c *callers) checkSoftware() {
	software, runs := make(map[string]string), make(map[string][]string)
	for _, e := range append(slices.Clone(c.testbed.engines), c.testbed.retired...) {
		software[e.ID] = e.Software()
		for _, run := range e.Runs() {
			if run.IsResumed() {
				runs[run.ID] = append(runs[run.ID], e.ID)
			}
		}
	}
	for _, stream := range c.chains {
		for _, id := range stream.ids {
			for _, e := range runs[id] {
				if software[e] != software[stream.engine] {
					c.violationf("%s: stream begun at engine %s (%s) goes on at %s (%s)", id, stream.engine, software[stream.engine], e, software[e])
				}
			}
		}
	}
}
