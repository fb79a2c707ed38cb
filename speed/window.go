package speed

import (
	"cmp"
	"slices"
	"time"
)

const (
	// levelQuantile is the quantile of the calls that counts as an upstream's level. Calls that had to wait behind others
	// or met a short disturbance are above it, so that neither they nor one slow call in 40 shift it.
	levelQuantile = 0.35
	// lowQuantile and highQuantile are the quantiles whose distance gives the noise; spreadFactor is their distance for
	// normally distributed values with a standard deviation of 1.
	lowQuantile, highQuantile = 0.1, 0.6
	spreadFactor              = 1.535
	// quantileError is the standard error of levelQuantile relative to that of a mean, for normally distributed values.
	quantileError = 1.3
)

type (
	sample struct {
		at    time.Time
		value float64
		load  int
	}

	// window holds the latest calls, the oldest of which are replaced.
	window struct {
		samples []sample
		next    int
		size    int
		life    time.Duration
	}

	// summary describes the calls of a window.
	summary struct {
		evidence
		noise, load float64
	}
)

func newWindow(size int, life time.Duration) window { return window{size: size, life: life} }

func (w *window) add(s sample) {
	if len(w.samples) < w.size {
		w.samples = append(w.samples, s)
		return
	}
	w.samples[w.next] = s
	w.next = (w.next + 1) % w.size
}

func (w *window) isEmpty() bool { return len(w.samples) == 0 }

func (w *window) clear() { w.samples, w.next = w.samples[:0], 0 }

// replace takes over the calls of another window.
func (w *window) replace(other window) {
	w.clear()
	for _, s := range other.samples {
		w.add(s)
	}
}

// summarize describes the calls that are not older than the window's life.
func (w *window) summarize(now time.Time) summary {
	values := make([]float64, 0, len(w.samples))
	load := 0.0
	for _, s := range w.samples {
		if now.Sub(s.at) <= w.life {
			values = append(values, s.value)
			load += float64(s.load)
		}
	}
	if len(values) == 0 {
		return summary{}
	}
	slices.Sort(values)
	count := float64(len(values))
	return summary{
		evidence: evidence{quantile(values, levelQuantile), count}, load: load / count,
		noise: (quantile(values, highQuantile) - quantile(values, lowQuantile)) / spreadFactor,
	}
}

// quantile interpolates between the values next to a quantile, which must be sorted.
func quantile(values []float64, q float64) float64 {
	position := q * float64(len(values)-1)
	below := int(position)
	above := min(below+1, len(values)-1)
	return values[below] + (position-float64(below))*(values[above]-values[below])
}

// evidence is a deviation from the reference, as the logarithm of a ratio, and the number of calls that it is worth.
type evidence struct{ deviation, weight float64 }

// relativeTo returns the deviation from a reference. It is worth fewer calls than either, since both have errors.
func (e evidence) relativeTo(reference evidence) evidence {
	if e.weight == 0 {
		return evidence{}
	}
	return evidence{e.deviation - reference.deviation, 1 / (1/e.weight + 1/reference.weight)}
}

// combine combines what several hosts have seen. Three or more hosts are combined by their weighted median, so that
// one host with a slow link of its own cannot shift the result.
func combine(all []evidence) evidence {
	all = slices.DeleteFunc(all, func(e evidence) bool { return e.weight < minSourceWeight })
	sum, mean := 0.0, 0.0
	for _, e := range all {
		sum += e.weight
		mean += e.weight * e.deviation
	}
	if sum == 0 {
		return evidence{}
	}
	if len(all) < medianSources {
		return evidence{mean / sum, sum}
	}
	slices.SortFunc(all, byDeviation)
	below := 0.0
	for _, e := range all {
		if below += e.weight; 2*below >= sum {
			return evidence{e.deviation, sum}
		}
	}
	return evidence{}
}

func byDeviation(a, b evidence) int { return cmp.Compare(a.deviation, b.deviation) }
