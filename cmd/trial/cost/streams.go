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
	// streamsPerEngine equals the initial concurrency limit of admission.
	streamsPerEngine = 16
	// streamRate is the decode rate of a stream in tokens per second, 5,120 over all streams.
	streamRate = "16"
	// streamTokens is large enough for the streams to outlast the measurement.
	streamTokens  = 400
	warmUpSpan    = 5 * time.Second
	streamingSpan = 10 * time.Second
	streamTimeout = 60 * time.Second
)

type (
	// StreamCost is the cost of open streams for the host that serves all of them.
	StreamCost struct {
		Open int
		// Memory is the growth of resident memory per open stream.
		Memory spoke.ByteSize
		// Tokens is the rate of streamed tokens per second, over all streams.
		Tokens spoke.TokenRate
		// Processor is the processor time that the host used, as a fraction of one core.
		Processor float64
		// Forwarded is the fraction of upstreams that the other host owns; their streams are forwarded to it.
		Forwarded float64
	}

	processUsage struct {
		processor time.Duration
		memory    spoke.ByteSize
	}
)

// MeasureStreams opens streams with a steady token rate through one of two hosts; the
// other one owns about half of the engines.
func MeasureStreams(ctx context.Context) (StreamCost, error) {
	session, err := setup.Start(ctx, plans.Cost(streamEngines, "--prefill-rate", "0", "--decode-rate", streamRate, "--slowdown", "0", "--max-batch", "64"))
	if err != nil {
		return StreamCost{}, err
	}
	defer session.Close()
	host := session.Hosts()[0]
	before, err := hostUsage(session, host)
	if err != nil {
		return StreamCost{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	streams, err := openStreams(ctx, session, host)
	if err != nil {
		return StreamCost{}, err
	}
	return streams.measure(ctx, session, host, before)
}

// openedStreams counts the open streams and the tokens received on all streams.
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
	request := load.Request{
		Key: plans.Key(plans.WorkspaceID(0)), Model: plans.Model, Rank: plans.RankBatch,
		Prompt: load.Prompt(uint64(index), latencyPromptSize), MaxTokens: streamTokens,
		Versions: []spoke.ModelVersion{plans.FirstVersion},
	}
	s.open.Add(1)
	defer s.open.Add(-1)
	caller.SendWithProgress(ctx, request, func(tokens spoke.TokenCount) {
		started()
		s.tokens.Add(int64(tokens))
	})
}

func (s *openedStreams) measure(ctx context.Context, session *setup.Session, host spoke.HostID, before processUsage) (StreamCost, error) {
	if err := setup.Sleep(ctx, warmUpSpan); err != nil {
		return StreamCost{}, err
	}
	first, err := hostUsage(session, host)
	if err != nil {
		return StreamCost{}, err
	}
	tokens := s.tokens.Load()
	if err := setup.Sleep(ctx, streamingSpan); err != nil {
		return StreamCost{}, err
	}
	open := s.open.Load()
	last, err := hostUsage(session, host)
	if err != nil {
		return StreamCost{}, err
	}
	if open == 0 {
		return StreamCost{}, eris.New("no stream is open at the end of the measurement")
	}
	forwarded, err := forwardedShare(ctx, session, host)
	return StreamCost{
		Open:      int(open),
		Memory:    (last.memory - before.memory) / spoke.ByteSize(open),
		Tokens:    spoke.TokenRate(float64(s.tokens.Load()-tokens) / streamingSpan.Seconds()),
		Processor: (last.processor - first.processor).Seconds() / streamingSpan.Seconds(),
		Forwarded: forwarded,
	}, err
}

func forwardedShare(ctx context.Context, session *setup.Session, host spoke.HostID) (float64, error) {
	client, err := session.AdminClient(host)
	if err != nil {
		return 0, err
	}
	status, err := client.Status(ctx)
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

func hostUsage(session *setup.Session, host spoke.HostID) (processUsage, error) {
	process, err := session.Fleet.Process(string(host))
	if err != nil {
		return processUsage{}, err
	}
	processor, err := processorTime(process.ID())
	if err != nil {
		return processUsage{}, err
	}
	memory, err := ResidentSize(process.ID())
	return processUsage{processor, memory}, err
}
