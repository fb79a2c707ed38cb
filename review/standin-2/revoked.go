package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

func init() { cases["revoked"] = caseRevoked }

// caseRevoked takes keys away while the store gives two machines of seven no response for 0.4 s. It asks the other machines, which
// the store serves all the time, with these keys.
func caseRevoked(b *bed, trouble bool) int {
	const (
		tenants = 6
		silence = 400 * time.Millisecond
	)
	config := func(version, revoked int) map[string]any {
		m := manifest(version, []any{
			route("look", "/look/", "safe", "desk", 2, nil), route("book", "/book/", "unsafe", "desk", 1, nil),
		}, []any{plainService("desk")})
		var rows []any
		for i := 1; i <= tenants; i++ {
			keys := []string{fmt.Sprintf("key-%d-a", i)}
			if i > revoked {
				keys = append(keys, fmt.Sprintf("key-%d-b", i))
			}
			rows = append(rows, map[string]any{"name": fmt.Sprintf("tenant-%d", i), "api-keys": keys})
		}
		m["tenants"] = rows
		return m
	}
	b.store.put("op/config", config(1, 0))
	for i := range 3 {
		b.addEngine(fmt.Sprintf("i-desk-%d", i+1), "desk", "z-a")
	}
	for i := range 5 {
		b.addHost(fmt.Sprintf("host-%d", i+1), fmt.Sprintf("z-%c", 'a'+i%3), nil)
	}
	b.awaitReady(10 * time.Second)
	time.Sleep(4 * time.Second)
	broken, late := 0, 0
	for round := 1; round <= tenants; round++ {
		// The machines that watch the store for the others are those that have called it for changes in the last second.
		var watchers, others []*host
		for _, h := range b.hosts {
			if time.Since(h.door.lastCall("kv-watch")) < 1500*time.Millisecond {
				watchers = append(watchers, h)
			} else {
				others = append(others, h)
			}
		}
		if len(watchers) != 2 {
			say("skip", "round", round, "watchers", len(watchers))
			time.Sleep(3 * time.Second)
			continue
		}
		// The rounds begin at different times between the regular calls of the machines to the store.
		time.Sleep(time.Duration(round) * 250 * time.Millisecond)
		if trouble {
			for _, h := range watchers {
				h.door.fallSilent(silence)
				say("silent", "host", h.name, "for_ms", silence.Milliseconds())
			}
		}
		time.Sleep(50 * time.Millisecond)
		b.store.put("op/config", config(round+1, round))
		confirmed := time.Now()
		key := fmt.Sprintf("key-%d-b", round)
		say("confirmed", "version", round+1, "revoked", key)
		time.Sleep(time.Until(confirmed.Add(2020 * time.Millisecond)))
		for i := 0; time.Since(confirmed) < 3500*time.Millisecond; i++ {
			h := others[i%len(others)]
			after := time.Since(confirmed)
			g := send(context.Background(), h.caller, "GET", "/look/x", fmt.Sprintf("r-%d-%d", round, i), 3*time.Second,
				map[string]string{"Authorization": "Bearer " + key, "X-Work": "1,1,length"})
			if g.status == 200 && strings.Contains(g.body, g.id) {
				late++
				say("broken", "rule", "CONFIG", "request", g.id, "host", h.name, "sent_after_ms", after.Milliseconds(), "key", key)
			}
			time.Sleep(10 * time.Millisecond)
		}
		if late > 0 {
			broken++
			late = 0
		}
		time.Sleep(5 * time.Second)
	}
	say("summary", "rounds", tenants, "broken", broken)
	if broken > 0 {
		return 1
	}
	return 0
}
