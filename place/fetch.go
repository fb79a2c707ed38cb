package place

import (
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// fetchSetup is the time before a transfer between engines starts.
	fetchSetup = 3 * time.Millisecond
	// remoteFetch is how many times longer a transfer between data centres takes.
	remoteFetch = 2
	// leastFetch is the size below which reading is as quick as a transfer.
	leastFetch spoke.TokenCount = 128
)

// source is where an engine copies a part from.
type source struct {
	address    spoke.Address
	dataCentre spoke.DataCentreID
	link       spoke.ByteRate
	setup      time.Duration
}

// planFetch sets from where the node copies the parts that it lacks and returns the time of the
// transfers; copying leaves the engine free for other prompts.
func (s *Scheduler) planFetch(w *waiting, n *node, c *candidate) time.Duration {
	engine := s.services[w.ask.Service].Engine
	if engine == nil || engine.Link <= 0 {
		return 0
	}
	prefixes := w.prefixesFor(c.weights)
	fetch := make([]spoke.Address, len(prefixes))
	var took time.Duration
	var fetched spoke.TokenCount
	for i, prefix := range prefixes {
		if prefix.Total <= c.cached {
			continue
		}
		from, ok := s.sourceOf(w, n, c.weights, i)
		if !ok {
			// A part is of use only if all parts before it are there.
			break
		}
		fetch[i] = from.address
		fetched += prefix.Part
		took += from.transfer(engine, prefix.Part, n.listed.DataCentre)
	}
	if fetched < leastFetch {
		return 0
	}
	c.fetched, c.fetch = min(fetched, w.ask.Prompt.Input-c.cached), fetch
	return took
}

// sourceOf returns where a part of the prompt can be copied from: a store that is known to
// hold it, else an engine that probably does.
func (s *Scheduler) sourceOf(w *waiting, n *node, version spoke.WeightVersion, part int) (source, bool) {
	key := StoredKeyOf(spoke.StoredPart{Group: groupOf(w.ask, version), Part: w.ask.Prompt.Parts[part].ID})
	if st := s.storeWith(key, n.listed.DataCentre); st != nil {
		return source{st.Address, st.DataCentre, st.Link, st.Setup}, true
	}
	holder := s.holder(w, n, version, part)
	if holder == nil {
		return source{}, false
	}
	return source{address: holder.listed.Address, dataCentre: holder.listed.DataCentre, setup: fetchSetup}, true
}

// holder returns another engine that holds the prompt up to a part, preferably in the same
// data centre.
func (s *Scheduler) holder(w *waiting, n *node, version spoke.WeightVersion, part int) *node {
	prefixes := w.prefixesFor(version)
	var best *node
	for _, other := range s.byService[w.ask.Service] {
		if other == n || other.weights[w.ask.Prompt.Model] != version || other.cache.cached(prefixes) < prefixes[part].Total {
			continue
		}
		if best == nil || (best.listed.DataCentre != n.listed.DataCentre && other.listed.DataCentre == n.listed.DataCentre) {
			best = other
		}
	}
	return best
}

// transfer returns the time in which an engine copies a part.
func (from source) transfer(engine *spoke.EngineProfile, tokens spoke.TokenCount, to spoke.DataCentreID) time.Duration {
	rate := engine.Link
	if from.link > 0 {
		rate = min(rate, from.link)
	}
	seconds := float64(tokens) * float64(engine.TokenSize) / float64(rate)
	if from.dataCentre != to {
		seconds *= remoteFetch
	}
	return from.setup + time.Duration(seconds*float64(time.Second))
}
