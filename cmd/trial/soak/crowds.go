package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/cmd/trial/crowd"
)

const (
	// crowdSize is the number of callers of a crowd; their heads or bodies exceed the memory of a host.
	crowdSize = 300
	// crowdTime and crowdPause are the times for which a crowd stays and for which there is none, at most.
	crowdTime  = 2 * time.Second
	crowdPause = time.Second
)

// sendCrowds lets crowds come to hosts, one after the other, until ctx ends.
func (inj *injector) sendCrowds(ctx context.Context, random *rand.Rand) {
	var kinds []crowd.Kind
	for _, kind := range append(crowd.Heads(), crowd.Bodies()...) {
		// A whole call would be one that the checks do not know.
		if !kind.HasWholeCall {
			kinds = append(kinds, kind)
		}
	}
	for ctx.Err() == nil {
		kind, h := kinds[random.IntN(len(kinds))], inj.testbed.hosts[random.IntN(len(inj.testbed.hosts))]
		inj.logf("crowd of %s at %s", kind.Name, h.name)
		callers := crowd.Open(spoke.Address(h.callerAddress), kind, crowdSize)
		sleep(ctx, time.Duration(random.Int64N(int64(crowdTime))))
		callers.Close()
		sleep(ctx, time.Duration(random.Int64N(int64(crowdPause))))
	}
}
