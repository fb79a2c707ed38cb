package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["uploads"] = uploads }

// uploads sends a burst of long requests, each within the limits of the manifest and all within the host's link, and
// ends a process that exceeds its memory as the platform does.
func uploads(log *record, hasTrouble bool) verdict {
	const (
		bodySize = 4194304
		count    = 75
		most     = 3
		// A link of 1000 Mbit/s takes 34 ms for a body.
		burstEvery = 40 * time.Millisecond
		usualEvery = 400 * time.Millisecond
		lasts      = 3 * time.Second
	)
	every := burstEvery
	if !hasTrouble {
		every = usualEvery
	}
	var mu sync.Mutex
	passedOn := map[string]bool{}
	st := startStore(log)
	st.put("op/config", manifest(7, false))
	startLLM(log, st, func(e *engine) {
		e.work = lasts
		e.events = 10
		e.onRun = func(e *engine, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			passedOn[r.Header.Get(prefixHdr+"Request-Id")] = true
			log.add("request %s runs on engine %s", r.Header.Get(prefixHdr+"Request-Id"), e.id)
		}
	})
	h := startHosts(log, st, 1, settings{memoryMB: 284})[0]
	prompt := func(body []byte) call {
		return call{method: http.MethodPost, path: pathStream + "2f", key: keyPacking, deadline: 10 * time.Second, body: body, header: map[string]string{
			prefixHdr + "Model": modelName, prefixHdr + "Token-Usage": "1460,10",
			prefixHdr + "Prefix-Hash": fmt.Sprintf("5c1e07a2:800,91bd3f06:410,e44%05x:250", requestNumber.Add(1)),
		}}
	}
	peak := 0
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			used := h.residentMB()
			mu.Lock()
			peak = max(peak, used)
			mu.Unlock()
			if used > h.memoryMB && h.isRunning() {
				log.add("process of %s uses %d MB, more than memory-mb %d: the platform kills it", h.name, used, h.memoryMB)
				h.kill()
				return
			}
		}
	}()
	body := make([]byte, bodySize)
	results := make([]result, count)
	var group sync.WaitGroup
	channels := make([]*channel, count)
	for i := range channels {
		c, err := open(h.caller)
		if err != nil {
			cannotRun("%v", err)
		}
		channels[i] = c
		group.Add(1)
		go func() {
			defer group.Done()
			c.do(prompt([]byte("short prompt")), newID())
		}()
	}
	group.Wait()
	log.add("%d channels are open, each has had an answer", count)
	for i, c := range channels {
		time.Sleep(every)
		group.Add(1)
		go func() {
			defer group.Done()
			results[i] = c.do(prompt(body), newID())
		}()
	}
	group.Wait()
	close(stop)
	mu.Lock()
	defer mu.Unlock()
	lost, unread := 0, 0
	for _, r := range results {
		switch {
		case r.err == nil:
		case passedOn[r.id]:
			lost++
		default:
			unread++
		}
	}
	return verdict{lost > most, fmt.Sprintf("%d of %d requests were passed on to a sound engine and their kept channels closed without a whole answer (at most %d), %d others had no answer either; the process used %d MB of %d at most",
		lost, count, most, unread, peak, h.memoryMB)}
}
