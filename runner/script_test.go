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

// A fixed seed keeps runs repeatable; -rapid.seed on the command line takes precedence.
var _ = flag.Set("rapid.seed", "1")

// faultsByEnd are the errors of the attempts that end early.
var faultsByEnd = map[string]error{
	"cut":        spoke.ErrIncomplete,
	"short":      io.EOF,
	"died":       spoke.ErrUpstreamDied,
	"owner-lost": spoke.ErrOwnerLost,
	"preempted":  spoke.ErrPreempted,
}

type (
	// act is what one attempt does: it delivers tokens up to stop, with faults, and ends.
	act struct {
		end   string
		stop  spoke.TokenCount
		fault string
		at    spoke.TokenCount
		delay time.Duration
	}

	// script is a dispatcher that plays one act for each attempt, then whole answers.
	script struct {
		spoke.Dispatcher
		acts     []act
		started  int
		ran      int
		failed   int
		refused  int
		versions map[spoke.UpstreamID]spoke.ModelVersion
		seen     []spoke.Dispatch
	}

	// played is the stream of one act.
	played struct {
		act     act
		spec    spoke.RunSpec
		version spoke.ModelVersion
		next    spoke.TokenCount
		queue   []spoke.Piece
		begun   bool
	}

	setup struct {
		*script
		manifest *spoke.Manifest
	}
	order struct{}
)

// token is the fixed function of prompt, version and index that every answer must equal.
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

func (s *script) Dispatch(_ context.Context, dispatch spoke.Dispatch) (spoke.RunStream, error) {
	current := act{end: "whole"}
	if s.started < len(s.acts) {
		current = s.acts[s.started]
	}
	s.started++
	s.seen = append(s.seen, dispatch)
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
	return &played{act: current, spec: dispatch.Spec, version: s.versions[dispatch.Upstream], next: dispatch.Spec.ResumeFrom}, nil
}

func (p *played) Next(ctx context.Context) (spoke.Piece, error) {
	if p.act.delay > 0 {
		select {
		case <-time.After(p.act.delay):
		case <-ctx.Done():
			return spoke.Piece{}, ctx.Err()
		}
	}
	if !p.begun {
		p.begun = true
		return spoke.Piece{}, nil
	}
	if len(p.queue) == 0 {
		if p.next >= answerTokens || (p.act.end != "whole" && p.next >= p.act.stop) {
			return p.finish(ctx)
		}
		p.produce()
	}
	piece := p.queue[0]
	p.queue = p.queue[1:]
	return piece, nil
}

func (p *played) produce() {
	whole := p.piece(p.next, p.next+1)
	p.queue = append(p.queue, whole)
	if p.act.fault != "" && p.next == p.act.at {
		p.queue = p.disturb(whole)
	}
	p.next++
}

func (p *played) disturb(whole spoke.Piece) []spoke.Piece {
	wrong := whole
	wrong.Text = "?"
	switch p.act.fault {
	case "duplicate":
		return []spoke.Piece{whole, whole, whole}
	case "overlap":
		return []spoke.Piece{whole, p.piece(max(p.next-2, p.spec.ResumeFrom), p.next+1)}
	case "crossed":
		wrong.Attempt = "another"
		return []spoke.Piece{wrong, whole, wrong}
	case "other-version":
		wrong.Version = "v9"
		return []spoke.Piece{wrong, whole}
	}
	wrong.Offset++
	return []spoke.Piece{wrong, whole}
}

func (p *played) piece(from, to spoke.TokenCount) spoke.Piece {
	return spoke.Piece{
		Attempt: p.spec.Attempt, Version: p.version, Offset: from, Tokens: to - from,
		Text: text(p.spec.Prompt, p.version, from, to),
	}
}

func (p *played) finish(ctx context.Context) (spoke.Piece, error) {
	if p.act.end == "silent" {
		<-ctx.Done()
		return spoke.Piece{}, ctx.Err()
	}
	if err := faultsByEnd[p.act.end]; err != nil {
		return spoke.Piece{}, err
	}
	if p.next > answerTokens {
		return spoke.Piece{}, io.EOF
	}
	p.next++
	last := p.piece(answerTokens, answerTokens)
	last.Finish = spoke.FinishStop
	return last, nil
}

func (p *played) Close() error { return nil }

func (s setup) Current() *spoke.Manifest { return s.manifest }

func (s setup) Views(spoke.ServiceName) []spoke.UpstreamView {
	var views []spoke.UpstreamView
	for _, upstream := range s.manifest.Upstreams() {
		versions := map[spoke.ModelName]spoke.ModelVersion{"plume": s.versions[upstream.ID]}
		views = append(views, spoke.UpstreamView{Upstream: upstream, Load: spoke.LoadSummary{Versions: versions}})
	}
	return views
}

// Choose returns all upstreams of the version that are not excluded, in the order of the views.
func (order) Choose(_ time.Time, query spoke.RouteQuery, views []spoke.UpstreamView) []spoke.UpstreamID {
	var ids []spoke.UpstreamID
	for _, view := range views {
		if !query.Exclude[view.Upstream.ID] && view.Load.Versions[query.Model] == query.Version {
			ids = append(ids, view.Upstream.ID)
		}
	}
	return ids
}

func newRunner(s *script, opts ...runner.Option) *runner.Runner {
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
	var none *spoke.Manifest
	site := setup{s, none.Apply(spoke.Ticket{Number: 1, Objects: objects})}
	return runner.New(runner.Dependencies{Manifests: site, Views: site, Router: order{}, Dispatcher: s, Timer: timer.NewSystem()}, opts...)
}

func request(prompt string) spoke.Request {
	return spoke.Request{
		ID: "r1", Workspace: "sialkot", Service: "quotes", Model: "plume", Rank: "normal",
		Prompt: prompt, MaxTokens: answerTokens, Received: time.Now(),
	}
}

func drawScript(t *rapid.T) *script {
	ends := []string{"whole", "cut", "short", "silent", "died", "owner-lost", "preempted", "busy", "draining", "overloaded"}
	faults := []string{"", "", "duplicate", "overlap", "crossed", "gap", "other-version"}
	one := rapid.Custom(func(t *rapid.T) act {
		return act{
			end:   rapid.SampledFrom(ends).Draw(t, "end"),
			stop:  spoke.TokenCount(rapid.IntRange(0, answerTokens).Draw(t, "stop")),
			fault: rapid.SampledFrom(faults).Draw(t, "fault"),
			at:    spoke.TokenCount(rapid.IntRange(0, answerTokens-1).Draw(t, "at")),
			delay: time.Duration(rapid.SampledFrom([]int{0, 0, 50, 1200}).Draw(t, "delay")) * time.Millisecond,
		}
	})
	return &script{acts: rapid.SliceOfN(one, 0, 8).Draw(t, "acts")}
}
