package runner_test

import (
	"context"
	"crypto/sha256"
	"flag"
	"fmt"
	"io"
	"time"

	"pgregory.net/rapid"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/runner"
	"magnoliaspoke.example/spoke/timer"
)

const answerTokens = 12

// A fixed seed makes test runs reproducible; -rapid.seed on the command line takes precedence.
var _ = flag.Set("rapid.seed", "1")

// errorByEnd maps the ends of incomplete attempts to their errors.
var errorByEnd = map[string]error{
	"cut":        spoke.ErrIncomplete,
	"short":      io.EOF,
	"died":       spoke.ErrUpstreamDied,
	"owner-lost": spoke.ErrOwnerLost,
	"preempted":  spoke.ErrPreempted,
}

type (
	// attemptScript describes one attempt: it delivers tokens up to stopAt, with the fault, if
	// any, at token faultAt, and ends.
	attemptScript struct {
		end     string
		stopAt  spoke.TokenCount
		fault   string
		faultAt spoke.TokenCount
		delay   time.Duration
	}

	// scriptedDispatcher runs each attempt by its script, and further attempts to a complete
	// answer.
	scriptedDispatcher struct {
		spoke.Dispatcher
		attempts   []attemptScript
		started    int
		ran        int
		failed     int
		refused    int
		versions   map[spoke.UpstreamID]spoke.ModelVersion
		dispatches []spoke.Dispatch
	}

	// scriptedStream is the stream of one scripted attempt.
	scriptedStream struct {
		script  attemptScript
		spec    spoke.RunSpec
		version spoke.ModelVersion
		next    spoke.TokenCount
		queue   []spoke.Piece
		started bool
	}

	staticSources struct {
		*scriptedDispatcher
		manifest *spoke.Manifest
	}
	listRouter struct{}
)

// token returns the expected token i of the answer to the prompt by a model version.
func token(prompt string, version spoke.ModelVersion, i spoke.TokenCount) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s/%s/%d", prompt, version, i))
	return fmt.Sprintf("%x ", sum[:1+i%3])
}

func text(prompt string, version spoke.ModelVersion, from, to spoke.TokenCount) string {
	var all string
	for i := from; i < to; i++ {
		all += token(prompt, version, i)
	}
	return all
}

func (s *scriptedDispatcher) Dispatch(_ context.Context, dispatch spoke.Dispatch) (spoke.RunStream, error) {
	current := attemptScript{end: "whole"}
	if s.started < len(s.attempts) {
		current = s.attempts[s.started]
	}
	s.started++
	s.dispatches = append(s.dispatches, dispatch)
	switch current.end {
	case "busy":
		s.refused++
		return nil, spoke.ErrBusy
	case "draining":
		s.refused++
		return nil, spoke.ErrDraining
	case "overloaded":
		s.refused++
		refusal := spoke.RefuseNotRun(spoke.CodeOverloaded, "queue is full")
		refusal.RetryAfter = time.Duration(s.started) * 100 * time.Millisecond
		return nil, refusal
	}
	s.ran++
	if current.end != "whole" || current.fault == "gap" || current.fault == "other-version" {
		s.failed++
	}
	return &scriptedStream{script: current, spec: dispatch.Spec, version: s.versions[dispatch.Upstream], next: dispatch.Spec.ResumeFrom}, nil
}

func (s *scriptedStream) Next(ctx context.Context) (spoke.Piece, error) {
	if s.script.delay > 0 {
		select {
		case <-time.After(s.script.delay):
		case <-ctx.Done():
			return spoke.Piece{}, ctx.Err()
		}
	}
	if !s.started {
		s.started = true
		return spoke.Piece{}, nil
	}
	if len(s.queue) == 0 {
		if s.next >= answerTokens || (s.script.end != "whole" && s.next >= s.script.stopAt) {
			return s.finish(ctx)
		}
		s.enqueueNext()
	}
	piece := s.queue[0]
	s.queue = s.queue[1:]
	return piece, nil
}

func (s *scriptedStream) enqueueNext() {
	valid := s.piece(s.next, s.next+1)
	s.queue = append(s.queue, valid)
	if s.script.fault != "" && s.next == s.script.faultAt {
		s.queue = s.withFault(valid)
	}
	s.next++
}

func (s *scriptedStream) withFault(valid spoke.Piece) []spoke.Piece {
	wrong := valid
	wrong.Text = "?"
	switch s.script.fault {
	case "duplicate":
		return []spoke.Piece{valid, valid, valid}
	case "overlap":
		return []spoke.Piece{valid, s.piece(max(s.next-2, s.spec.ResumeFrom), s.next+1)}
	case "crossed":
		wrong.Attempt = "another"
		return []spoke.Piece{wrong, valid, wrong}
	case "other-version":
		wrong.Version = "v9"
		return []spoke.Piece{wrong, valid}
	}
	wrong.Offset++
	return []spoke.Piece{wrong, valid}
}

func (s *scriptedStream) piece(from, to spoke.TokenCount) spoke.Piece {
	return spoke.Piece{
		Attempt: s.spec.Attempt, Version: s.version, Offset: from, Tokens: to - from,
		Text: text(s.spec.Prompt, s.version, from, to),
	}
}

func (s *scriptedStream) finish(ctx context.Context) (spoke.Piece, error) {
	if s.script.end == "silent" {
		<-ctx.Done()
		return spoke.Piece{}, ctx.Err()
	}
	if err := errorByEnd[s.script.end]; err != nil {
		return spoke.Piece{}, err
	}
	if s.next > answerTokens {
		return spoke.Piece{}, io.EOF
	}
	s.next++
	last := s.piece(answerTokens, answerTokens)
	last.Finish = spoke.FinishStop
	return last, nil
}

func (s *scriptedStream) Close() error { return nil }

func (s staticSources) Current() *spoke.Manifest { return s.manifest }

func (s staticSources) Views(spoke.ServiceName) []spoke.UpstreamView {
	var views []spoke.UpstreamView
	for _, upstream := range s.manifest.Upstreams() {
		versions := map[spoke.ModelName]spoke.ModelVersion{"plume": s.versions[upstream.ID]}
		views = append(views, spoke.UpstreamView{Upstream: upstream, Load: spoke.LoadSummary{Versions: versions}})
	}
	return views
}

// Choose returns all upstreams of the version that are not excluded, in the order of the views.
func (listRouter) Choose(_ time.Time, query spoke.RouteQuery, views []spoke.UpstreamView) []spoke.UpstreamID {
	var ids []spoke.UpstreamID
	for _, view := range views {
		if !query.Exclude[view.Upstream.ID] && view.Load.Versions[query.Model] == query.Version {
			ids = append(ids, view.Upstream.ID)
		}
	}
	return ids
}

func newRunner(s *scriptedDispatcher, opts ...runner.Option) *runner.Runner {
	objects := []spoke.Object{
		spoke.Service{Name: "quotes", Kind: spoke.ServiceLanguage},
		spoke.Model{Name: "plume", Service: "quotes", Version: "v1"},
		spoke.Rank{Name: "normal"},
	}
	if s.versions == nil {
		s.versions = make(map[spoke.UpstreamID]spoke.ModelVersion)
	}
	for i := range 5 {
		id := spoke.UpstreamID(fmt.Sprintf("engine-%d", i))
		if s.versions[id] == "" {
			s.versions[id] = "v1"
		}
		objects = append(objects, spoke.Upstream{ID: id, Service: "quotes"})
	}
	var empty *spoke.Manifest
	sources := staticSources{s, empty.Apply(spoke.Ticket{Number: 1, Objects: objects})}
	return runner.New(runner.Dependencies{Manifests: sources, Views: sources, Router: listRouter{}, Dispatcher: s, Timer: timer.NewSystem()}, opts...)
}

func request(prompt string) spoke.Request {
	return spoke.Request{
		ID: "r1", Workspace: "sialkot", Service: "quotes", Model: "plume", Rank: "normal",
		Prompt: prompt, MaxTokens: answerTokens, Received: time.Now(),
	}
}

func drawDispatcher(t *rapid.T) *scriptedDispatcher {
	ends := []string{"whole", "cut", "short", "silent", "died", "owner-lost", "preempted", "busy", "draining", "overloaded"}
	faults := []string{"", "", "duplicate", "overlap", "crossed", "gap", "other-version"}
	attempt := rapid.Custom(func(t *rapid.T) attemptScript {
		return attemptScript{
			end:     rapid.SampledFrom(ends).Draw(t, "end"),
			stopAt:  spoke.TokenCount(rapid.IntRange(0, answerTokens).Draw(t, "stop")),
			fault:   rapid.SampledFrom(faults).Draw(t, "fault"),
			faultAt: spoke.TokenCount(rapid.IntRange(0, answerTokens-1).Draw(t, "at")),
			delay:   time.Duration(rapid.SampledFrom([]int{0, 0, 50, 1200}).Draw(t, "delay")) * time.Millisecond,
		}
	})
	return &scriptedDispatcher{attempts: rapid.SliceOfN(attempt, 0, 8).Draw(t, "attempts")}
}
