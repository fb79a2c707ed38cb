package main

import (
	"context"
	"fmt"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/cmd/trial/cost"
	"magnoliaspoke.example/spoke/cmd/trial/slope"
)

const (
	// Targets from docs/design.md section 14. memoryTarget is per open stream, tokensTarget is in tokens per
	// second, and processorTarget is a fraction of one core at that token rate.
	addedP50Target  = time.Millisecond
	addedP99Target  = 5 * time.Millisecond
	memoryTarget    = spoke.ByteSize(60_000)
	tokensTarget    = 5000.0
	processorTarget = 0.25
)

type (
	overheadArgs struct{}
)

func (a *overheadArgs) run(ctx context.Context) error {
	latency, err := cost.MeasureLatency(ctx)
	if err != nil {
		return err
	}
	streams, err := cost.MeasureStreams(ctx)
	if err != nil {
		return err
	}
	addedP50 := latency.OneHop.P50 - latency.Direct.P50
	addedP99 := latency.OneHop.P99 - latency.Direct.P99
	// The measured processor share is scaled to the token rate of the target.
	processor := streams.Processor * tokensTarget / float64(streams.Tokens)
	fmt.Printf("time to first token, %d calls on each path at 50/s: direct p50 %v p99 %v, one hop p50 %v p99 %v\n",
		latency.Calls, latency.Direct.P50, latency.Direct.P99, latency.OneHop.P50, latency.OneHop.P99)
	fmt.Printf("added p50 %v (target %v), added p99 %v (target %v)\n", addedP50, addedP50Target, addedP99, addedP99Target)
	fmt.Printf("%d open streams, %.0f%% of them forwarded: %d bytes each (target %d)\n",
		streams.Open, 100*streams.Forwarded, streams.Memory, memoryTarget)
	fmt.Printf("%.0f tokens/s at %.3f of a core, %.3f at %.0f tokens/s (target %.2f)\n",
		streams.Tokens, streams.Processor, processor, tokensTarget, processorTarget)
	var missed []string
	addIfMissed := func(isMissed bool, name string) {
		if isMissed {
			missed = append(missed, name)
		}
	}
	addIfMissed(addedP50 > addedP50Target, "added p50")
	addIfMissed(addedP99 > addedP99Target, "added p99")
	addIfMissed(streams.Memory > memoryTarget, "memory of a stream")
	addIfMissed(processor > processorTarget, "processor time of streaming")
	if len(missed) > 0 {
		return &slope.MissedError{Missed: missed}
	}
	return nil
}
