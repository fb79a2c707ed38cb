package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/cmd/trial/load"
	"magnoliaspoke.example/spoke/cmd/trial/plans"
	"magnoliaspoke.example/spoke/cmd/trial/setup"
	"magnoliaspoke.example/spoke/events"
)

const (
	demoLifetime = 2 * time.Minute
	// promptSize is the size of a prompt that fills six cache blocks.
	promptSize   = 6 * spoke.PieceSize
	answerTokens = 24
	// fillerPrompts is the number of other prompts, enough to evict the first one from all engines.
	fillerPrompts  = 16
	floodRequests  = 40
	swapTimeout    = 20 * time.Second
	timelineLength = 40
)

type (
	demoArgs struct {
		Trace string `arg:"--trace" help:"write the timeline as a trace file for a browser's trace viewer" placeholder:"FILE"`
	}

	demo struct {
		*setup.Session
		out  io.Writer
		rows []row
	}

	row struct {
		step   string
		answer load.Answer
		note   string
	}
)

func (a *demoArgs) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, demoLifetime)
	defer cancel()
	s, err := setup.Start(ctx, plans.Demo(demoLifetime))
	if err != nil {
		return err
	}
	defer s.Close()
	d := &demo{Session: s, out: os.Stdout}
	d.printf("%d entry hosts in %d data centres serve ticket %d\n", len(s.Hosts()), len(s.Fleet.Plan().DataCentres), s.Ticket.Number)
	for _, step := range []func(context.Context) error{
		d.repeatAfterEviction, d.urgentDuringFlood, d.bookTwice, d.swapVersion, d.killHost,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	d.printTable()
	return d.printTimeline(ctx, a.Trace)
}

func newRequest(seed uint64, size spoke.ByteSize, rank spoke.RankName) load.Request {
	return load.Request{
		Key: plans.Key(plans.WorkspaceID(0)), Model: plans.Model, Rank: rank,
		Prompt: load.Prompt(seed, size), MaxTokens: answerTokens,
		Versions: []spoke.ModelVersion{plans.FirstVersion},
	}
}

// send sends a request to a host and adds the answer to the table.
func (d *demo) send(ctx context.Context, step string, host spoke.HostID, request load.Request) (load.Answer, error) {
	caller, err := d.Caller(host)
	if err != nil {
		return load.Answer{}, err
	}
	answer := caller.Send(ctx, request)
	d.rows = append(d.rows, row{step: step, answer: answer})
	if !answer.IsServed() {
		return answer, eris.Errorf("%s: refusal %v, error %v", step, answer.Refusal, answer.Err)
	}
	return answer, nil
}

// repeatAfterEviction sends a prompt twice, evicts its blocks by sending other prompts, and sends it again.
func (d *demo) repeatAfterEviction(ctx context.Context) error {
	request := newRequest(1, promptSize, plans.RankNormal)
	if _, err := d.send(ctx, "first request", d.Hosts()[0], request); err != nil {
		return err
	}
	if _, err := d.send(ctx, "same prompt at once", d.Hosts()[1], request); err != nil {
		return err
	}
	for i := range fillerPrompts {
		host := d.Hosts()[i%len(d.Hosts())]
		caller, err := d.Caller(host)
		if err != nil {
			return err
		}
		if answer := caller.Send(ctx, newRequest(uint64(100+i), promptSize, plans.RankNormal)); !answer.IsServed() {
			return eris.Errorf("filler %d: refusal %v, error %v", i, answer.Refusal, answer.Err)
		}
	}
	_, err := d.send(ctx, "same prompt after eviction", d.Hosts()[0], request)
	return err
}

// urgentDuringFlood sends an urgent request while requests of the least urgent rank flood the set-up.
func (d *demo) urgentDuringFlood(ctx context.Context) error {
	var flood sync.WaitGroup
	served := make(chan bool, floodRequests)
	for i := range floodRequests {
		caller, err := d.Caller(d.Hosts()[i%len(d.Hosts())])
		if err != nil {
			return err
		}
		flood.Go(func() {
			served <- caller.Send(ctx, newRequest(uint64(500+i), spoke.PieceSize, plans.RankBatch)).IsServed()
		})
	}
	_, err := d.send(ctx, "urgent in a flood of batch", d.Hosts()[0], newRequest(2, spoke.PieceSize, plans.RankUrgent))
	flood.Wait()
	close(served)
	count := 0
	for ok := range served {
		if ok {
			count++
		}
	}
	d.rows[len(d.rows)-1].note = fmt.Sprintf("%d of %d flood requests served", count, floodRequests)
	return err
}

// bookTwice sends the same booking through two hosts; the second answer is a replay.
func (d *demo) bookTwice(ctx context.Context) error {
	booking := load.Call{
		Key: plans.Key(plans.WorkspaceID(0)), Service: plans.Booking, Method: "POST", Path: "/bookings",
		Body: `{"dusters":12}`, IdempotencyKey: "order-4711",
	}
	for i, host := range d.Hosts()[:2] {
		caller, err := d.Caller(host)
		if err != nil {
			return err
		}
		reply := caller.Call(ctx, booking)
		if reply.Err != nil || reply.Status != 200 {
			return eris.Errorf("booking %d: status %d, refusal %v, error %v", i+1, reply.Status, reply.Refusal, reply.Err)
		}
		d.printf("booking sent through %s: status %d, replayed %t\n", host, reply.Status, reply.Replayed)
	}
	return nil
}

// swapVersion changes the model version with a ticket and waits for an answer of the new version.
func (d *demo) swapVersion(ctx context.Context) error {
	const next spoke.ModelVersion = "v2"
	started := time.Now()
	if err := d.SubmitChange(ctx, spoke.Model{Name: plans.Model, Service: plans.Language, Version: next}); err != nil {
		return err
	}
	for _, host := range d.Hosts() {
		if err := d.waitForTicket(ctx, host); err != nil {
			return err
		}
	}
	d.printf("ticket %d in force on all hosts after %d ms\n", d.Ticket.Number, time.Since(started).Milliseconds())
	request := newRequest(3, spoke.PieceSize, plans.RankNormal)
	request.Versions = []spoke.ModelVersion{next}
	ctx, cancel := context.WithTimeout(ctx, swapTimeout)
	defer cancel()
	for {
		answer, err := d.send(ctx, "request after the version change", d.Hosts()[0], request)
		if err == nil {
			d.printf("answer of version %s after %d ms\n", answer.Version, time.Since(started).Milliseconds())
			return nil
		}
		d.rows = d.rows[:len(d.rows)-1]
		if setup.Sleep(ctx, setup.PollPeriod) != nil {
			return err
		}
	}
}

func (d *demo) waitForTicket(ctx context.Context, host spoke.HostID) error {
	client, err := d.AdminClient(host)
	if err != nil {
		return err
	}
	for {
		status, err := client.Status(ctx)
		if err == nil && status.Host.Number >= d.Ticket.Number {
			return nil
		}
		if waitErr := setup.Sleep(ctx, setup.PollPeriod); waitErr != nil {
			return eris.Wrapf(waitErr, "ticket %d on host %s", d.Ticket.Number, host)
		}
	}
}

// killHost kills an entry host and immediately sends requests through another one.
func (d *demo) killHost(ctx context.Context) error {
	killed := d.Hosts()[1]
	process, err := d.Fleet.Process(string(killed))
	if err != nil {
		return err
	}
	process.Kill()
	request := newRequest(4, spoke.PieceSize, plans.RankUrgent)
	request.Versions = []spoke.ModelVersion{"v2"}
	for range 4 {
		if _, err := d.send(ctx, "after "+string(killed)+" was killed", d.Hosts()[0], request); err != nil {
			return err
		}
		request.Prompt += "?"
	}
	return nil
}

func (d *demo) printTable() {
	table := tabwriter.NewWriter(d.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "\nstep\tfirst token\ttotal\tprompt tokens\trecomputed\tnote")
	for _, r := range d.rows {
		_, _ = fmt.Fprintf(table, "%s\t%.1f ms\t%.1f ms\t%d\t%.0f%%\t%s\n", r.step,
			milliseconds(r.answer.FirstToken), milliseconds(r.answer.Total), r.answer.Usage.Prompt,
			100*recomputedShare(r.answer.Usage), r.note)
	}
	_ = table.Flush()
}

func (d *demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, format, args...)
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// recomputedShare returns the fraction of the prompt tokens that were not cached.
func recomputedShare(usage spoke.Usage) float64 {
	if usage.Prompt == 0 {
		return 0
	}
	return float64(usage.Prompt-usage.Cached) / float64(usage.Prompt)
}

func (d *demo) printTimeline(ctx context.Context, trace string) error {
	merged, err := d.Timeline(ctx, spoke.EventFilter{})
	if err != nil {
		return err
	}
	tail := merged[max(0, len(merged)-timelineLength):]
	d.printf("\nlast %d of %d events on the timeline of %d hosts\n", len(tail), len(merged), len(d.RunningHosts()))
	if err := events.WriteText(d.out, tail); err != nil || trace == "" {
		return err
	}
	file, err := os.Create(trace)
	if err != nil {
		return eris.Wrap(err, "trace file")
	}
	defer file.Close()
	return events.WriteTrace(file, merged)
}
