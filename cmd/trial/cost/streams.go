package cost

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/cmd/trial/load"
	"magnoliaspoke.example/spoke/cmd/trial/plans"
	"magnoliaspoke.example/spoke/cmd/trial/setup"
)

const (
	streamEngines = 20
	// streamsPerEngine is the concurrency limit that admission starts with.
	streamsPerEngine = 16
	// streamRate gives 5,120 tokens per second over all streams.
	streamRate = "16"
	// streamTokens lets the streams outlast the measurement.
	streamTokens  = 400
	warmSpan      = 5 * time.Second
	streamingSpan = 10 * time.Second
	streamLimit   = 60 * time.Second
)

type (
	// Streams is what open streams cost the host that all of them go through.
	Streams struct {
		Open int
		// Memory is the growth of the process for each open stream.
		Memory spoke.ByteSize
		// Tokens is the rate at which the host streamed.
		Tokens spoke.TokenRate
		// Processor is the share of a core that the host used.
		Processor float64
		// Forwarded is the share of the streams whose upstream another host owns.
		Forwarded float64
	}

	usage struct {
		processor time.Duration
		memory    spoke.ByteSize
	}
)

// MeasureStreams opens streams of a steady pace through one of two hosts; the
// other one owns about half of the engines.
func MeasureStreams(ctx context.Context) (Streams, error) {
	session, err := setup.Start(ctx, plans.Cost(streamEngines, "--prefill-rate", "0", "--decode-rate", streamRate, "--slowdown", "0", "--max-batch", "64"))
	if err != nil {
		return Streams{}, err
	}
	defer session.Close()
	host := session.Hosts()[0]
	before, err := usageOf(session, host)
	if err != nil {
		return Streams{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, streamLimit)
	defer cancel()
	streams, err := openStreams(ctx, session, host)
	if err != nil {
		return Streams{}, err
	}
	return streams.measure(ctx, session, host, before)
}

// openedStreams counts the tokens of streams in progress.
type openedStreams struct {
	open   atomic.Int64
	tokens atomic.Int64
}

func openStreams(ctx context.Context, session *setup.Session, host spoke.HostID) (*openedStreams, error) {
	caller, err := session.Caller(host)
	if err != nil {
		return nil, err
	}
	streams := &openedStreams{}
	var started sync.WaitGroup
	for i := range streamEngines * streamsPerEngine {
		started.Add(1)
		go streams.read(ctx, caller, i, sync.OnceFunc(started.Done))
	}
	started.Wait()
	return streams, nil
}

func (s *openedStreams) read(ctx context.Context, caller *load.Caller, index int, started func()) {
	defer started()
	ask := load.Request{
		Key: plans.Key(plans.WorkspaceID(0)), Model: plans.Model, Rank: plans.RankBatch,
		Prompt: load.Prompt(uint64(index), latencyPrompt), MaxTokens: streamTokens,
		Versions: []spoke.ModelVersion{plans.FirstVersion},
	}
	s.open.Add(1)
	defer s.open.Add(-1)
	caller.Watch(ctx, ask, func(tokens spoke.TokenCount) {
		started()
		s.tokens.Add(int64(tokens))
	})
}

func (s *openedStreams) measure(ctx context.Context, session *setup.Session, host spoke.HostID, idle usage) (Streams, error) {
	if err := setup.Wait(ctx, warmSpan); err != nil {
		return Streams{}, err
	}
	first, err := usageOf(session, host)
	if err != nil {
		return Streams{}, err
	}
	tokens := s.tokens.Load()
	if err := setup.Wait(ctx, streamingSpan); err != nil {
		return Streams{}, err
	}
	open := s.open.Load()
	last, err := usageOf(session, host)
	if err != nil {
		return Streams{}, err
	}
	if open == 0 {
		return Streams{}, eris.New("no stream is open at the end of the measurement")
	}
	forwarded, err := forwardedShare(ctx, session, host)
	return Streams{
		Open:      int(open),
		Memory:    (last.memory - idle.memory) / spoke.ByteSize(open),
		Tokens:    spoke.TokenRate(float64(s.tokens.Load()-tokens) / streamingSpan.Seconds()),
		Processor: (last.processor - first.processor).Seconds() / streamingSpan.Seconds(),
		Forwarded: forwarded,
	}, err
}

func forwardedShare(ctx context.Context, session *setup.Session, host spoke.HostID) (float64, error) {
	operator, err := session.Operator(host)
	if err != nil {
		return 0, err
	}
	status, err := operator.Status(ctx)
	if err != nil {
		return 0, err
	}
	others := 0
	for _, view := range status.Upstreams {
		if view.Owner != host {
			others++
		}
	}
	return float64(others) / float64(len(status.Upstreams)), nil
}

func usageOf(session *setup.Session, host spoke.HostID) (usage, error) {
	process, err := session.Fleet.Process(string(host))
	if err != nil {
		return usage{}, err
	}
	processor, err := processorTime(process.ID())
	if err != nil {
		return usage{}, err
	}
	memory, err := ResidentSize(process.ID())
	return usage{processor, memory}, err
}
