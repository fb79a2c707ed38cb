package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["leaving"] = leaving }

// departure is an engine that leaves without a report.
type departure struct {
	engine *engine
	at     time.Time
}

// leaving partitions the two hosts that watch the store from it, and lets engines leave one after the other without a
// report. It looks for requests that other hosts send to an engine later than drain-ms after the store has confirmed
// that the engine is gone.
func leaving(log *record, hasTrouble bool) verdict {
	const (
		drain     = 2 * time.Second
		staysFor  = 3500 * time.Millisecond
		cutLasts  = 5500 * time.Millisecond
		cutEvery  = 10 * time.Second
		cuts      = 9
		leaves    = time.Second
		perCut    = 5
		first     = 40 * time.Millisecond
		callEvery = 30 * time.Millisecond
	)
	var mu sync.Mutex
	gone := map[*engine]time.Time{}
	late, most, failed := 0, time.Duration(0), 0
	cutHosts := map[*host]time.Time{}
	sentBy := map[string]*host{}
	st := startStore(log)
	st.put("op/config", manifest(7, false))
	onRun := func(e *engine, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		id := r.Header.Get(prefixHdr + "Request-Id")
		log.add("request %s runs on engine %s", id, e.id)
		at, isGone := gone[e]
		after := time.Since(at)
		if !isGone || after <= drain {
			return
		}
		h := sentBy[id]
		if since, wasCut := cutHosts[h]; wasCut && time.Since(since) < cutLasts+3*time.Second {
			return
		}
		log.add("request %s from %s reaches engine %s %d ms after its entry was removed", id, h.name, e.id, after.Milliseconds())
		late++
		most = max(most, after)
	}
	number := 0
	newApp := func() *engine {
		number++
		e := newEngine(log, st, fmt.Sprintf("i-app%02d", number), serviceApp, zones[number%len(zones)], 6, 60*time.Millisecond)
		e.onRun = onRun
		e.start()
		return e
	}
	var engines []*engine
	for range 6 {
		engines = append(engines, newApp())
	}
	started := startHosts(log, st, 7, settings{})
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, h := range started {
		group.Add(1)
		go func() {
			defer group.Done()
			tick := time.NewTicker(callEvery)
			defer tick.Stop()
			for {
				select {
				case <-stop:
					return
				case <-tick.C:
				}
				id := newID()
				mu.Lock()
				sentBy[id] = h
				mu.Unlock()
				group.Add(1)
				go func() {
					defer group.Done()
					c, err := open(h.caller)
					if err != nil {
						return
					}
					defer c.close()
					got := c.do(call{method: http.MethodPost, path: pathUnsafe + "2f", key: keyPacking, deadline: 3 * time.Second, body: []byte("carton " + id)}, id)
					if got.status != http.StatusOK {
						mu.Lock()
						failed++
						mu.Unlock()
					}
				}()
			}
		}()
	}
	time.Sleep(3 * time.Second)
	begun := time.Now()
	for round := range cuts {
		time.Sleep(time.Until(begun.Add(time.Duration(round) * cutEvery)))
		for _, h := range started {
			if time.Since(time.Unix(0, h.path.watchedAt.Load())) < 1500*time.Millisecond && hasTrouble {
				mu.Lock()
				cutHosts[h] = time.Now()
				mu.Unlock()
				h.path.cut()
				log.add("%s, which watches the store, is partitioned from it for %s", h.name, cutLasts)
				time.AfterFunc(cutLasts, h.path.heal)
			}
		}
		for i := range perCut {
			next := newApp()
			time.Sleep(time.Until(begun.Add(time.Duration(round)*cutEvery + first + time.Duration(i)*leaves)))
			old := engines[0]
			engines = append(engines[1:], next)
			mu.Lock()
			gone[old] = old.unlist()
			log.add("entry of engine %s removed", old.id)
			mu.Unlock()
			time.AfterFunc(staysFor, old.leave)
		}
	}
	time.Sleep(4 * time.Second)
	close(stop)
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	return verdict{late > 0, fmt.Sprintf("%d requests of hosts that were never cut reached an engine later than %s after its removal was confirmed, the last after %d ms; %d requests had no success", late, drain, most.Milliseconds(), failed)}
}
