package main

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"time"
)

func init() { cases["leaving"] = caseLeaving }

// caseLeaving replaces engines one after the other while one machine after the other is stopped and started. The engine
// that leaves reports so, serves until its streams have ended, and exits.
func caseLeaving(b *bed, trouble bool) int {
	const (
		rounds  = 6
		streams = 9
		events  = 12
	)
	quill := plainService("quill")
	quill["engine"] = map[string]any{
		"slots": 64, "kv-capacity-tokens": 138177, "kv-token-bytes": 327680, "link-mbps": 310000.0, "max-inflight": 12,
		"models": []any{map[string]any{"name": "m0"}},
	}
	b.store.put("op/config", manifest(1, []any{
		route("quote", "/quote/", "streaming", "quill", 1, map[string]any{"timeout-ms": 12000, "sticky": true, "gap-aim-ms": 400}),
	}, []any{quill}))
	var engines []*supervised
	add := func(n int) {
		engines = append(engines, b.addEngine(fmt.Sprintf("i-quill-%d", n), "quill", fmt.Sprintf("z-%c", 'a'+n%3), "--model", "--slots", "64"))
	}
	for n := range 3 {
		add(n)
	}
	for i := range 3 {
		b.addHost(fmt.Sprintf("host-%d", i+1), fmt.Sprintf("z-%c", 'a'+i), nil)
	}
	b.awaitReady(10 * time.Second)
	time.Sleep(4 * time.Second)
	broken, whole, sent := 0, 0, 0
	for round := 1; round <= rounds; round++ {
		h := b.hosts[round%len(b.hosts)]
		answers := make(chan got, streams)
		for i := range streams {
			id := fmt.Sprintf("r-%d-%d", round, i)
			sent++
			go func() {
				answers <- send(context.Background(), h.caller, "POST", "/quote/x", id, 10*time.Second, map[string]string{
					"X-Work": fmt.Sprintf("%d,300,events", events), "Magnoliaspoke-Model": "m0", "Magnoliaspoke-Token-Usage": "40,60",
					"Magnoliaspoke-Prefix-Hash": fmt.Sprintf("%08x:40", round*100+i+1),
				})
			}()
			time.Sleep(80 * time.Millisecond)
		}
		if trouble {
			add(2 + round)
			engines[0].leave()
			say("leave", "engine", engines[0].id)
			engines = engines[1:]
			time.Sleep(300 * time.Millisecond)
			_ = h.cmd.Process.Signal(syscall.SIGTERM)
			say("stop", "host", h.name)
		}
		for range streams {
			g := <-answers
			switch {
			case g.status == 200 && g.err == nil && g.body == wholeEvents(events):
				whole++
			case g.status == 200 && b.hasEnded(g.id):
				broken++
				say("broken", "rule", "LOST", "request", g.id, "host", h.name, "events", strings.Count(g.body, "\n\n"), "of", events,
					"error", fmt.Sprint(g.err))
			}
		}
		if trouble {
			<-h.ended
			b.startHost(h)
			b.awaitReady(10 * time.Second)
		}
		time.Sleep(4 * time.Second)
	}
	say("summary", "sent", sent, "whole", whole, "broken", broken)
	switch {
	case broken > 0:
		return 1
	case whole < sent/2:
		return 2
	}
	return 0
}

// hasEnded reports whether an engine has sent the whole answer to a request.
func (b *bed) hasEnded(request string) bool {
	deadline := time.Now().Add(time.Second)
	for time.Now().Before(deadline) {
		b.mu.Lock()
		for _, line := range b.lines {
			if line["what"] == "end" && line["request"] == request {
				b.mu.Unlock()
				return true
			}
		}
		b.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
	return false
}

// leave tells the engine to report that it leaves, and to exit when it may. Nothing starts it again.
func (s *supervised) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stops = true
	_ = s.file.Close()
	_ = s.cmd.Process.Signal(syscall.SIGTERM)
}
