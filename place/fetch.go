package place

import (
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// fetchSetup is the time before a transfer of cached parts starts.
	fetchSetup = 3 * time.Millisecond
	// remoteFetch is how many times longer a transfer between data centres takes.
	remoteFetch = 2
	// leastFetch is the size below which reading is as quick as a transfer.
	leastFetch spoke.TokenCount = 256
)

// planFetch sets from which other engine the node copies cached parts that it lacks and
// returns the time of the transfer; copying leaves the engine free for other prompts.
func (s *Scheduler) planFetch(w *waiting, n *node, c *candidate) time.Duration {
	engine := s.services[w.ask.Service].Engine
	if engine == nil || engine.Link <= 0 {
		return 0
	}
	source, held := s.holder(w, n, c)
	gain := min(held, w.ask.Prompt.Input) - c.cached
	if source == nil || gain < leastFetch {
		return 0
	}
	c.fetched, c.fetchFrom = gain, source.listed.Address
	return fetchTime(engine, gain, source.listed.DataCentre != n.listed.DataCentre)
}

// holder returns the other engine that holds most of the prompt, preferably in the same data centre.
func (s *Scheduler) holder(w *waiting, n *node, c *candidate) (*node, spoke.TokenCount) {
	var best *node
	var most spoke.TokenCount
	for _, other := range s.byService[w.ask.Service] {
		if other == n || other.weights[w.ask.Prompt.Model] != c.weights {
			continue
		}
		held := other.cache.cached(w.prefixesFor(c.weights))
		isNearer := best != nil && held == most && best.listed.DataCentre != n.listed.DataCentre &&
			other.listed.DataCentre == n.listed.DataCentre
		if held > most || isNearer {
			best, most = other, held
		}
	}
	return best, most
}

func fetchTime(engine *spoke.EngineProfile, tokens spoke.TokenCount, isRemote bool) time.Duration {
	seconds := float64(tokens) * float64(engine.TokenSize) / float64(engine.Link)
	if isRemote {
		seconds *= remoteFetch
	}
	return fetchSetup + time.Duration(seconds*float64(time.Second))
}
