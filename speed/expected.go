package speed

import "math"

const (
	// workBands is the number of bands of recent work, each twice as much as the one below it.
	workBands = 12
	// expectedStep is the change of the expected level by one call.
	expectedStep = 0.04
	// firstExpected is the number of calls in a band that count more, so that it is learned soon.
	firstExpected = 40
)

// expected is the level that calls usually have while an upstream has a certain amount of recent work, for all upstreams
// of a service together. Calls that wait behind others for whose work no report has arrived yet say nothing of the
// upstream's speed.
type expected [workBands]struct {
	level float64
	calls int
}

func bandOf(work float64) int {
	return min(max(int(math.Log2(max(work, 1))), 0), workBands-1)
}

// observe returns the deviation of a call from what is expected, and learns from it.
func (e *expected) observe(work, value float64) float64 {
	band := &e[bandOf(work)]
	if band.calls == 0 {
		band.level = value
	}
	deviation := value - e.levelFrom(bandOf(work))
	step := expectedStep * float64(1+max(firstExpected-band.calls, 0)/4)
	if value < band.level {
		step *= -(1 - levelQuantile)
	} else {
		step *= levelQuantile
	}
	band.level += step
	band.calls++
	return deviation
}

// levelFrom is the least level of a band and those of more work. A slow upstream that gets few calls may be alone in its
// band, but less work does not make calls slower.
func (e *expected) levelFrom(band int) float64 {
	level := e[band].level
	for _, more := range e[band+1:] {
		if more.calls >= firstExpected {
			level = min(level, more.level)
		}
	}
	return level
}
