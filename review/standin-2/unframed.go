package main

import (
	"context"
	"fmt"
	"time"
)

func init() { cases["unframed"] = caseUnframed }

// caseUnframed kills one of seven plain servers in the middle of an answer that ends with its channel. The server's supervisor starts
// it again at once, under the same id.
func caseUnframed(b *bed, trouble bool) int {
	b.store.put("op/config", manifest(1, []any{
		route("book", "/book/", "unsafe", "desk", 1, nil), route("look", "/look/", "safe", "desk", 2, nil),
	}, []any{plainService("desk")}))
	first := b.addEngine("i-desk-1", "desk", "z-a", "--start-ms", "150")
	for n := 2; n <= 7; n++ {
		b.addEngine(fmt.Sprintf("i-desk-%d", n), "desk", fmt.Sprintf("z-%c", 'a'+n%3), "--start-ms", "150")
	}
	b.addHost("host-1", "z-a", nil)
	b.addHost("host-2", "z-b", nil)
	b.addHost("host-3", "z-c", nil)
	b.awaitReady(10 * time.Second)
	time.Sleep(time.Second)
	const pieces = 10
	work := map[string]string{"X-Work": fmt.Sprintf("%d,50,close", pieces)}
	answers := make(chan got, 400)
	sent := 0
	stop := time.Now().Add(12 * time.Second)
	next := time.Now().Add(2 * time.Second)
	for time.Now().Before(stop) {
		sent++
		id := fmt.Sprintf("r-%d", sent)
		at := b.hosts[sent%len(b.hosts)].caller
		go func() {
			answers <- send(context.Background(), at, "POST", "/book/x", id, 6*time.Second, work)
		}()
		time.Sleep(40 * time.Millisecond)
		if trouble && time.Now().After(next) {
			next = time.Now().Add(3 * time.Second)
			first.kill()
			say("kill", "engine", "i-desk-1")
		}
	}
	broken, served := 0, 0
	for range sent {
		g := <-answers
		if g.err != nil || g.status != 200 {
			continue
		}
		served++
		if g.body != wholeBody(g.id, pieces) {
			broken++
			say("broken", "rule", "MIXED", "request", g.id, "bytes", len(g.body), "whole", len(wholeBody(g.id, pieces)), "stamp", g.stamp)
		}
	}
	say("summary", "sent", sent, "served", served, "broken", broken)
	switch {
	case broken > 0:
		return 1
	case served < sent/2:
		return 2
	}
	return 0
}
