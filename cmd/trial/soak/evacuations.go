package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// evacuationBound is the time after which no request may reach an evacuated data centre, storeFaultBound how much faults
	// of the store extend it.
	evacuationBound = 5 * time.Second
	storeFaultBound = 6 * time.Second
	// minEvacuation exceeds both, and jitter is added at random to it and to the pause behind it.
	minEvacuation    = 14 * time.Second
	evacuationPause  = 500 * time.Millisecond
	evacuationJitter = 1500 * time.Millisecond
)

// evacuation is the time for which a data centre was evacuated.
type evacuation struct {
	zone     string
	from, to time.Time
}

// evacuate evacuates the data centres of engines in turn until ctx ends. Each is evacuated again at once behind its first
// evacuation.
func (inj *injector) evacuate(ctx context.Context, random *rand.Rand) {
	jitter := func() time.Duration { return time.Duration(random.Int64N(int64(evacuationJitter))) }
	store := inj.testbed.store
	for count := random.IntN(2); ctx.Err() == nil; count++ {
		zone := dataCentres[count%2]
		key := "op/evacuate/" + zone
		store.Put(key, map[string]any{})
		store.Remove(key)
		store.Put(key, map[string]any{})
		begun := time.Now()
		inj.logf("%s is evacuated", zone)
		sleep(ctx, minEvacuation+jitter())
		ended := time.Now()
		store.Remove(key)
		inj.testbed.evacuations = append(inj.testbed.evacuations, evacuation{zone, begun, ended})
		inj.logf("evacuation of %s has ended", zone)
		sleep(ctx, evacuationPause+jitter())
	}
}

// checkEvacuations checks that no request reached an evacuated engine later than the bounds allow.
func (c *callers) checkEvacuations() {
	for _, e := range append(slices.Clone(c.testbed.engines), c.testbed.retired...) {
		for _, arrival := range e.Arrivals() {
			for _, evacuated := range c.testbed.evacuations {
				late := arrival.At.Sub(evacuated.from.Add(evacuationBound + storeFaultBound))
				if e.Zone == evacuated.zone && late > 0 && arrival.At.Before(evacuated.to) {
					c.violationf("%s: reached engine %s in %s, %s later than its evacuation allows", arrival.ID, e.ID, e.Zone, late)
				}
			}
		}
	}
}
