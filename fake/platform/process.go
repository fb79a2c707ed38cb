package platform

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// RunBegins stands, behind the Unix millisecond, in the line of a process that states the begin of a run.
	RunBegins = "begins"
	// RunEnds stands in the line that states its end.
	RunEnds = "ends"

	// listenInterval is the time between two attempts to listen at an address that another process still holds.
	listenInterval = 200 * time.Microsecond
)

// Process is an engine that runs as a process of its own and sends framed answers.
type Process struct {
	ID      string
	Address string
	// Started is the time of its start in milliseconds since 1970.
	Started int64
	// Weights is the version of the weights that it starts with.
	Weights int
	// Software is the version of its software, v1 if it is empty.
	Software string
	// HasTroubles makes its answers consist of Piece values and come with troubles.
	HasTroubles bool

	entries int
}

// Serve serves from the moment the address is free until ctx ends, then finishes its runs. It writes a line for the begin
// and the end of each run.
func (p Process) Serve(ctx context.Context, log io.Writer) error {
	e := p.engine()
	e.behaviour, e.startedAt = Framed, time.Now()
	if p.HasTroubles {
		e.behaviour, e.troubles = Troubled, newTroubles(p.ID, e.software, log)
	}
	var runs sync.WaitGroup
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", e.serveReport)
	mux.HandleFunc("POST /order", e.serveOrder)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		defer runs.Done()
		line := func(word string) {
			_, _ = fmt.Fprintln(log, time.Now().UnixMilli(), word, r.Header.Get(headerRequestID), p.ID)
		}
		line(RunBegins)
		defer line(RunEnds)
		e.serveRun(w, r)
	})
	listener, err := net.Listen("tcp", p.Address)
	for ; err != nil && ctx.Err() == nil; listener, err = net.Listen("tcp", p.Address) {
		time.Sleep(listenInterval)
	}
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(log, time.Now().UnixMilli(), "listens", p.Address, p.ID)
	server := &http.Server{Handler: mux}
	if p.HasTroubles {
		listener = troubledListener{listener}
		useTroubledConns(server)
	}
	stopped := make(chan error, 1)
	go func() {
		<-ctx.Done()
		stopped <- server.Shutdown(context.Background())
	}()
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	err = <-stopped
	// Shutdown does not wait for answers with neither a length nor chunks.
	runs.Wait()
	return err
}

func (p Process) engine() *Engine {
	return &Engine{ID: p.ID, address: p.Address, version: p.Weights, software: cmp.Or(p.Software, "v1"), slots: defaultSlots, restarts: p.Started - firstStartMs}
}

// PutProcess writes the store entry of an engine that is a process.
func (s *Store) PutProcess(p *Process, service string, isLeaving bool) {
	state := "ready"
	if isLeaving {
		state = "draining"
	}
	e := p.engine()
	e.entries = p.entries
	s.Put("servers/"+p.ID, e.Entry(service, "a", state))
	p.entries = e.entries
}

// RemoveProcess removes the store entry of an engine that is a process.
func (s *Store) RemoveProcess(p *Process) { s.Remove("servers/" + p.ID) }
