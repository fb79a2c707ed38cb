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
	// holdingsAge is how long a look through the engines that hold a prompt's parts counts.
	holdingsAge = 40 * time.Millisecond
)

type (
	// source is where an engine copies a part from.
	source struct {
		address    spoke.Address
		dataCentre spoke.DataCentreID
		link       spoke.ByteRate
		setup      time.Duration
	}

	// holdings are the parts of one prompt that can be copied, by weight version.
	holdings struct {
		version spoke.WeightVersion
		// seen is when the engines were looked through.
		seen time.Time
		keys []storedKey
		// engines have the beginning of the prompt up to the size beside them.
		engines []*node
		held    []spoke.TokenCount
	}

	// transfer is what a call copies from one source.
	transfer struct {
		from spoke.Address
		// holds is the time that it takes of the source's link.
		holds time.Duration
	}

	// copies are the parts of a prompt that a node copies: the first ones of those that it lacks. The rest
	// is read.
	copies struct {
		parts  int
		tokens spoke.TokenCount
		// took is the time of the transfers alone, delay what they are likely to wait for other ones, and
		// holds the time that they take of the links of their sources.
		took  time.Duration
		delay time.Duration
		holds time.Duration
	}
)

// holdingsOf returns the holdings for a version, which it keeps for the next looks at a waiting call.
func (s *Scheduler) holdingsOf(now time.Time, w *waiting, version spoke.WeightVersion) *holdings {
	known := w.holdings
	if known != nil && known.version == version && now.Sub(known.seen) < holdingsAge {
		return known
	}
	found := &holdings{version: version, seen: now}
	if known != nil && known.version == version {
		found.keys = known.keys
	} else {
		found.keys = storedKeys(w.ask, version)
	}
	prefixes := w.prefixesFor(version)
	for _, n := range s.near[w.ask.Service] {
		if n.weights[w.ask.Prompt.Model] != version {
			continue
		}
		if held := n.cache.cached(prefixes); held > 0 {
			found.engines, found.held = append(found.engines, n), append(found.held, held)
		}
	}
	w.holdings = found
	return found
}

func storedKeys(m Request, version spoke.WeightVersion) []storedKey {
	group := groupOf(m, version)
	keys := make([]storedKey, 0, len(m.Prompt.Parts))
	for _, part := range m.Prompt.Parts {
		key := StoredKeyOf(spoke.StoredPart{Group: group, Part: part.ID})
		keys = append(keys, storedKey{key, m.Prompt.Model, version})
	}
	return keys
}

// planCopies returns the copies that cost least, where weigh tells the cost of each way. Copying leaves
// the engine free for other prompts.
func (s *Scheduler) planCopies(now time.Time, w *waiting, c *candidate, weigh func(copies) time.Duration) copies {
	var best, longer copies
	engine := s.services[w.ask.Service].Engine
	if engine == nil || engine.Link <= 0 {
		return best
	}
	least := weigh(best)
	from := s.holdingsOf(now, w, c.weights)
	for i, prefix := range w.prefixesFor(c.weights) {
		if prefix.Total <= c.cached {
			continue
		}
		at, ok := s.sourceOf(now, from, c.node, i, prefix.Total)
		if !ok {
			// A part is of use only if all parts before it are there.
			break
		}
		longer.parts++
		longer.tokens = min(longer.tokens+prefix.Part, w.ask.Prompt.Input-c.cached)
		longer.took += at.transfer(engine, prefix.Part, c.node.listed.DataCentre)
		longer.delay = max(longer.delay, s.sources.delay(now, at.address))
		longer.holds += at.holds(engine, prefix.Part, c.node.listed.DataCentre)
		if cost := weigh(longer); cost < least {
			best, least = longer, cost
		}
	}
	return best
}

// fetches returns where the node of a candidate copies each part from, and the transfers that its first
// event waits for, one for each source.
func (s *Scheduler) fetches(now time.Time, w *waiting, c candidate) (fetch []spoke.Address, transfers []transfer) {
	engine := s.services[w.ask.Service].Engine
	if w.ask.Prompt == nil || engine == nil || engine.Link <= 0 {
		return nil, nil
	}
	prefixes, from := w.prefixesFor(c.weights), s.holdingsOf(now, w, c.weights)
	fetch = make([]spoke.Address, len(prefixes))
	copied := 0
	for i, prefix := range prefixes {
		if prefix.Total <= c.cached {
			// The engine may have dropped the part; what it still holds is not copied.
			if st := s.storeWith(now, from.keys[i], c.node.listed.DataCentre); st != nil {
				fetch[i] = st.Address
			}
			continue
		}
		if copied == c.copies.parts {
			break
		}
		at, ok := s.sourceOf(now, from, c.node, i, prefix.Total)
		if !ok {
			break
		}
		fetch[i] = at.address
		copied++
		transfers = addTransfer(transfers, at.address, at.holds(engine, prefix.Part, c.node.listed.DataCentre))
	}
	return fetch, transfers
}

// addTransfer adds the time of one more part to that of its source.
func addTransfer(transfers []transfer, from spoke.Address, holds time.Duration) []transfer {
	for i := range transfers {
		if transfers[i].from == from {
			transfers[i].holds += holds
			return transfers
		}
	}
	return append(transfers, transfer{from, holds})
}

// sourceOf returns where a part of the prompt can be copied from: a store that is known to
// hold it, else an engine that probably does.
func (s *Scheduler) sourceOf(now time.Time, from *holdings, n *node, part int, upTo spoke.TokenCount) (source, bool) {
	if st := s.storeWith(now, from.keys[part], n.listed.DataCentre); st != nil {
		return source{st.Address, st.DataCentre, st.Link, st.Setup}, true
	}
	holder := from.holder(n, upTo)
	if holder == nil {
		return source{}, false
	}
	return source{address: holder.listed.Address, dataCentre: holder.listed.DataCentre, setup: fetchSetup}, true
}

// holder returns another engine that holds the prompt up to a size, preferably in the same data
// centre.
func (h *holdings) holder(n *node, upTo spoke.TokenCount) *node {
	var best *node
	for i, other := range h.engines {
		if other == n || h.held[i] < upTo {
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
	return from.setup + from.over(min(engine.Link, from.rate(engine)), engine, tokens, to)
}

// holds returns the time that the copy of a part takes of the source's link, which may be faster than
// that of the engine.
func (from source) holds(engine *spoke.EngineProfile, tokens spoke.TokenCount, to spoke.DataCentreID) time.Duration {
	return from.over(from.rate(engine), engine, tokens, to)
}

// rate is that of the source's link; engines have links of one rate.
func (from source) rate(engine *spoke.EngineProfile) spoke.ByteRate {
	if from.link > 0 {
		return from.link
	}
	return engine.Link
}

func (from source) over(rate spoke.ByteRate, engine *spoke.EngineProfile, tokens spoke.TokenCount, to spoke.DataCentreID) time.Duration {
	seconds := float64(tokens) * float64(engine.TokenSize) / float64(rate)
	if from.dataCentre != to {
		seconds *= remoteFetch
	}
	return time.Duration(seconds * float64(time.Second))
}
