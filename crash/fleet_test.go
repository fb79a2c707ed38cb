package crash_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/crash"
	"magnoliaspoke.example/spoke/runner"
	"magnoliaspoke.example/spoke/timer"
)

const (
	crashingPrompt = "poison"
	answerTokens   = 6
)

type (
	// fleet is a set of upstreams that crash on crashingPrompt and restart at once.
	// It runs suspects in isolation, as the hosts that own the upstreams do.
	fleet struct {
		spoke.Dispatcher
		mu           sync.Mutex
		manifest     *spoke.Manifest
		upstreams    map[spoke.UpstreamID]*engine
		deaths       int
		crashingRuns int
	}

	engine struct {
		down chan struct{}
		solo spoke.AttemptID
	}

	runStream struct {
		fleet    *fleet
		engine   *engine
		dispatch spoke.Dispatch
		down     chan struct{}
		next     spoke.TokenCount
		ended    bool
	}
)

// A fixed seed makes runs repeatable; -rapid.seed on the command line takes precedence.
var _ = flag.Set("rapid.seed", "1")

func newFleet(size int) *fleet {
	f := &fleet{upstreams: make(map[spoke.UpstreamID]*engine)}
	for i := range size {
		f.upstreams[spoke.UpstreamID(fmt.Sprintf("engine-%d", i))] = &engine{down: make(chan struct{})}
	}
	f.manifest = f.manifest.Apply(spoke.Ticket{Number: 1, Objects: []spoke.Object{
		spoke.Service{Name: "quotes", Kind: spoke.ServiceLanguage},
		spoke.Model{Name: "plume", Service: "quotes", Version: "v1"},
		spoke.Rank{Name: "normal"},
	}})
	return f
}

func (f *fleet) Current() *spoke.Manifest { return f.manifest }

func (*fleet) Views(spoke.ServiceName) []spoke.UpstreamView { return nil }

// Choose returns all upstreams that are not excluded, in a fixed order.
func (f *fleet) Choose(_ time.Time, query spoke.RouteQuery, _ []spoke.UpstreamView) []spoke.UpstreamID {
	all := slices.Sorted(maps.Keys(f.upstreams))
	return slices.DeleteFunc(all, func(id spoke.UpstreamID) bool { return query.Exclude[id] })
}

func (f *fleet) Dispatch(_ context.Context, dispatch spoke.Dispatch) (spoke.RunStream, error) {
	return &runStream{fleet: f, engine: f.upstreams[dispatch.Upstream], dispatch: dispatch, next: dispatch.Spec.ResumeFrom}, nil
}

// tryStart starts the run and reports whether it could; a suspect has to wait while another
// one runs on the engine.
func (s *runStream) tryStart() bool {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if s.dispatch.Solo {
		if s.engine.solo != "" && s.engine.solo != s.dispatch.Spec.Attempt {
			return false
		}
		s.engine.solo = s.dispatch.Spec.Attempt
	}
	s.down = s.engine.down
	if s.dispatch.Spec.Prompt == crashingPrompt {
		s.fleet.crashingRuns++
	}
	return true
}

func (s *runStream) Next(ctx context.Context) (spoke.Piece, error) {
	if s.down == nil && !s.tryStart() {
		<-time.After(100 * time.Millisecond)
		return spoke.Piece{}, ctx.Err()
	}
	if s.dispatch.Spec.Prompt == crashingPrompt && s.next == 2 {
		s.kill()
	}
	select {
	case <-time.After(50 * time.Millisecond):
	case <-s.down:
		return spoke.Piece{}, spoke.ErrUpstreamDied
	case <-ctx.Done():
		return spoke.Piece{}, ctx.Err()
	}
	return s.piece()
}

func (s *runStream) piece() (spoke.Piece, error) {
	if s.ended {
		return spoke.Piece{}, io.EOF
	}
	piece := spoke.Piece{Attempt: s.dispatch.Spec.Attempt, Version: "v1", Offset: s.next}
	if s.next == answerTokens {
		s.ended = true
		piece.Finish = spoke.FinishStop
		return piece, nil
	}
	piece.Tokens, piece.Text = 1, fmt.Sprintf("%s/%d ", s.dispatch.Spec.Prompt, s.next)
	s.next++
	return piece, nil
}

func (s *runStream) kill() {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.fleet.deaths++
	close(s.engine.down)
	s.engine.down = make(chan struct{})
}

func (s *runStream) Close() error {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if s.engine.solo == s.dispatch.Spec.Attempt {
		s.engine.solo = ""
	}
	return nil
}

// newHost returns an entry host with its own registry that uses the fleet.
func (f *fleet) newHost(registry *crash.Registry) *runner.Runner {
	deps := runner.Dependencies{Manifests: f, Views: f, Router: f, Dispatcher: f, Timer: timer.NewSystem()}
	return runner.New(deps, runner.WithQuarantine(registry))
}
