package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["poison"] = poison }

// poison sends a request that crashes each engine that begins to run it, again and again, and counts how often it
// reaches engines after it has crashed the third.
func poison(log *record, hasTrouble bool) verdict {
	const (
		stableWindow = 3 * time.Second
		mostRetries  = 3
		path         = pathSafe + "2f"
		lasts        = 100 * time.Second
	)
	var mu sync.Mutex
	var crashes []time.Time
	type arrival struct {
		at time.Time
		id string
	}
	var arrivals []arrival
	st := startStore(log)
	st.put("op/config", manifest(7, false))
	startApp(log, st, 60*time.Millisecond, func(e *engine) {
		e.downFor = 3 * time.Second
		if hasTrouble {
			e.poison = path
		}
		e.onRun = func(e *engine, r *http.Request) {
			if r.URL.Path != path {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			id := r.Header.Get(prefixHdr + "Request-Id")
			arrivals = append(arrivals, arrival{time.Now(), id})
			if hasTrouble {
				crashes = append(crashes, time.Now())
				log.add("request %s runs on engine %s and crashes it (crash %d)", id, e.id, len(crashes))
			}
		}
	})
	started := startHosts(log, st, 3, settings{})
	begun := time.Now()
	var group sync.WaitGroup
	for _, h := range started {
		group.Add(2)
		go func() {
			defer group.Done()
			for time.Since(begun) < lasts {
				once(h.caller, call{method: http.MethodGet, path: path, key: keyPacking, deadline: 3 * time.Second})
				time.Sleep(100 * time.Millisecond)
			}
		}()
		go func() {
			defer group.Done()
			for time.Since(begun) < lasts {
				once(h.caller, call{method: http.MethodGet, path: pathSafe + "sound", key: keyPacking, deadline: 3 * time.Second})
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	if len(crashes) < mostRetries {
		return verdict{false, fmt.Sprintf("the request ran %d times and crashed %d engines", len(arrivals), len(crashes))}
	}
	from := crashes[2].Add(stableWindow)
	late, attempts := 0, map[string]bool{}
	for _, a := range arrivals {
		if a.at.After(from) {
			late++
			attempts[a.id] = true
		}
	}
	text := fmt.Sprintf("%d engines crashed; later than %s after the third crash the request reached engines %d times, in %d consumer attempts (at most %d)",
		len(crashes), stableWindow, late, len(attempts), mostRetries)
	return verdict{len(attempts) > mostRetries, text}
}
