package place

import (
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// engineCopySetup is the time before a copy between engines starts.
	engineCopySetup = 3 * time.Millisecond
	// remoteCopyFactor is how many times longer a copy between data centres takes.
	remoteCopyFactor = 2
	// holdersMaxAge is how long the list of engines that hold a prompt's parts is reused.
	holdersMaxAge = 40 * time.Millisecond
)

type (
	// source is a store or an engine from which a part can be copied.
	source struct {
		address    spoke.Address
		dataCentre spoke.DataCentreID
		link       spoke.ByteRate
		setup      time.Duration
	}

	// prefixHolders lists the engines that hold a prefix of one prompt, for one weight version.
	prefixHolders struct {
		version spoke.WeightVersion
		// scannedAt is when the engines were checked.
		scannedAt time.Time
		keys      []storedKey
		// engines[i] is expected to have cached the first held[i] tokens of the prompt.
		engines []*node
		held    []spoke.TokenCount
	}

	// sourceCopy is the part of a call's copies that comes from one source.
	sourceCopy struct {
		from spoke.Address
		// linkTime is the time that it occupies the source's link.
		linkTime time.Duration
	}

	// copies are the parts of a prompt that a node copies: the first ones of those that it lacks. It
	// prefills the rest.
	copies struct {
		parts  int
		tokens spoke.TokenCount
		// copyTime is the time of these copies alone, delay how long they are likely to wait for other
		// ones, and linkTime the time that they occupy the links of their sources.
		copyTime time.Duration
		delay    time.Duration
		linkTime time.Duration
	}
)

// holdersOf returns the holders for a version, and caches them in the waiting call.
func (s *Scheduler) holdersOf(now time.Time, w *waitingCall, version spoke.WeightVersion) *prefixHolders {
	known := w.holders
	if known != nil && known.version == version && now.Sub(known.scannedAt) < holdersMaxAge {
		return known
	}
	found := &prefixHolders{version: version, scannedAt: now}
	if known != nil && known.version == version {
		found.keys = known.keys
	} else {
		found.keys = storedKeys(w.request, version)
	}
	prefixes := w.prefixesFor(version)
	for _, n := range s.cellNodes[w.request.Service] {
		if n.weights[w.request.Prompt.Model] != version {
			continue
		}
		if held := n.cache.cached(prefixes); held > 0 {
			found.engines, found.held = append(found.engines, n), append(found.held, held)
		}
	}
	w.holders = found
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

// planCopies returns the copies with the lowest cost, which the function cost returns for each plan. While
// it copies, the engine can prefill other prompts.
func (s *Scheduler) planCopies(now time.Time, w *waitingCall, c *candidate, cost func(copies) time.Duration) copies {
	var best, longer copies
	engine := s.services[w.request.Service].Engine
	if engine == nil || engine.Link <= 0 {
		return best
	}
	least := cost(best)
	holders := s.holdersOf(now, w, c.weights)
	for i, prefix := range w.prefixesFor(c.weights) {
		if prefix.Total <= c.cached {
			continue
		}
		from, ok := s.sourceOf(now, holders, c.node, i, prefix.Total)
		if !ok {
			// A part is usable only with all parts before it.
			break
		}
		longer.parts++
		longer.tokens = min(longer.tokens+prefix.Part, w.request.Prompt.Input-c.cached)
		longer.copyTime += from.copyTime(engine, prefix.Part, c.node.listed.DataCentre)
		longer.delay = max(longer.delay, s.sources.delay(now, from.address))
		longer.linkTime += from.linkTime(engine, prefix.Part, c.node.listed.DataCentre)
		if next := cost(longer); next < least {
			best, least = longer, next
		}
	}
	return best
}

// fetchSources returns the address from which the node of a candidate copies each part, empty for none, and
// the copies that the first event waits for, one for each source.
func (s *Scheduler) fetchSources(now time.Time, w *waitingCall, c candidate) (fetch []spoke.Address, bySource []sourceCopy) {
	engine := s.services[w.request.Service].Engine
	if w.request.Prompt == nil || engine == nil || engine.Link <= 0 {
		return nil, nil
	}
	prefixes, holders := w.prefixesFor(c.weights), s.holdersOf(now, w, c.weights)
	fetch = make([]spoke.Address, len(prefixes))
	copied := 0
	for i, prefix := range prefixes {
		if prefix.Total <= c.cached {
			// The engine may have evicted the part; it copies only parts that it does not hold.
			if st := s.storeHolding(now, holders.keys[i], c.node.listed.DataCentre); st != nil {
				fetch[i] = st.Address
			}
			continue
		}
		if copied == c.copies.parts {
			break
		}
		from, ok := s.sourceOf(now, holders, c.node, i, prefix.Total)
		if !ok {
			break
		}
		fetch[i] = from.address
		copied++
		bySource = addSourceCopy(bySource, from.address, from.linkTime(engine, prefix.Part, c.node.listed.DataCentre))
	}
	return fetch, bySource
}

// addSourceCopy adds the link time of one more part to the copy from its source.
func addSourceCopy(bySource []sourceCopy, from spoke.Address, linkTime time.Duration) []sourceCopy {
	for i := range bySource {
		if bySource[i].from == from {
			bySource[i].linkTime += linkTime
			return bySource
		}
	}
	return append(bySource, sourceCopy{from, linkTime})
}

// sourceOf returns a source of a part of the prompt: a store that reported it, else an engine that is
// expected to have it cached.
func (s *Scheduler) sourceOf(now time.Time, holders *prefixHolders, n *node, part int, upTo spoke.TokenCount) (source, bool) {
	if st := s.storeHolding(now, holders.keys[part], n.listed.DataCentre); st != nil {
		return source{st.Address, st.DataCentre, st.Link, st.Setup}, true
	}
	holder := holders.holder(n, upTo)
	if holder == nil {
		return source{}, false
	}
	return source{address: holder.listed.Address, dataCentre: holder.listed.DataCentre, setup: engineCopySetup}, true
}

// holder returns another engine that holds the prompt up to the given number of tokens, preferably in the
// same data centre.
func (h *prefixHolders) holder(n *node, upTo spoke.TokenCount) *node {
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

// copyTime returns the time in which an engine copies a part.
func (from source) copyTime(engine *spoke.EngineProfile, tokens spoke.TokenCount, to spoke.DataCentreID) time.Duration {
	return from.setup + from.timeAt(min(engine.Link, from.rate(engine)), engine, tokens, to)
}

// linkTime returns the time that the copy of a part occupies the source's link, which may be faster than
// the engine's.
func (from source) linkTime(engine *spoke.EngineProfile, tokens spoke.TokenCount, to spoke.DataCentreID) time.Duration {
	return from.timeAt(from.rate(engine), engine, tokens, to)
}

// rate is the rate of the source's link; all engines of a service have the same.
func (from source) rate(engine *spoke.EngineProfile) spoke.ByteRate {
	if from.link > 0 {
		return from.link
	}
	return engine.Link
}

// timeAt returns the time to copy tokens at a rate, longer if the data centres differ.
func (from source) timeAt(rate spoke.ByteRate, engine *spoke.EngineProfile, tokens spoke.TokenCount, to spoke.DataCentreID) time.Duration {
	seconds := float64(tokens) * float64(engine.TokenSize) / float64(rate)
	if from.dataCentre != to {
		seconds *= remoteCopyFactor
	}
	return time.Duration(seconds * float64(time.Second))
}
