package scene_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/admin"
	"magnoliaspoke.example/spoke/check"
	"magnoliaspoke.example/spoke/cmd/spokectl/tool"
	"magnoliaspoke.example/spoke/config"
	"magnoliaspoke.example/spoke/ready"
)

type (
	// entryHost is a stub of an entry host: GET /peek returns the faults of its platform, GET /part
	// sends half an answer and waits until the client disconnects, and other paths return the request
	// body.
	entryHost struct {
		settings config.Entry

		mu     sync.Mutex
		number spoke.TicketNumber
	}

	codec struct{}

	ticketText struct {
		Number  uint64
		Objects []string
	}
)

func (codec) EncodeTicket(ticket spoke.Ticket) ([]byte, error) {
	raw := ticketText{Number: uint64(ticket.Number)}
	for _, object := range ticket.Objects {
		raw.Objects = append(raw.Objects, object.Key().Name)
	}
	return json.Marshal(raw)
}

func (codec) DecodeTicket(text []byte) (spoke.Ticket, error) {
	var raw ticketText
	var report check.Report
	if err := json.Unmarshal(text, &raw); err != nil {
		report.Addf("ticket", "%v", err)
	}
	ticket := spoke.Ticket{Number: spoke.TicketNumber(raw.Number)}
	for _, name := range raw.Objects {
		ticket.Objects = append(ticket.Objects, spoke.Service{Name: spoke.ServiceName(name)})
	}
	return ticket, report.Err()
}

func (codec) EncodeManifest(*spoke.Manifest) ([]byte, error) { return []byte("{}"), nil }

func (e *entryHost) Submit(_ context.Context, ticket spoke.Ticket) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ticket.Number <= e.number {
		return &spoke.AdminError{Code: spoke.AdminStaleNumber, Message: "stale"}
	}
	e.number = ticket.Number
	fmt.Fprintln(os.Stderr, "ticket with objects", ticket.Objects)
	return nil
}

func (e *entryHost) Ticket(context.Context, spoke.TicketNumber) (spoke.Ticket, error) {
	return spoke.Ticket{}, nil
}

func (e *entryHost) Manifest(context.Context) (*spoke.Manifest, error) { return nil, nil }

func (e *entryHost) Status(context.Context) (spoke.Status, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return spoke.Status{Host: spoke.HostStatus{ID: e.settings.Host, Number: e.number, Ready: e.number > 0}}, nil
}

func (e *entryHost) Drain(context.Context) error { return nil }

func (e *entryHost) Events(context.Context, spoke.EventFilter) (spoke.EventPage, error) {
	return spoke.EventPage{}, nil
}

func (e *entryHost) Explain(context.Context, spoke.RequestID) (spoke.RequestReport, error) {
	return spoke.RequestReport{}, nil
}

func (e *entryHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", "r-"+r.Header.Get("Idempotency-Key"))
	switch r.URL.Path {
	case "/peek":
		response, err := http.Get("http://" + string(e.settings.Platform) + "/faults")
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer response.Body.Close()
		_, _ = io.Copy(w, response.Body)
	case "/part":
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	default:
		_, _ = io.Copy(w, r.Body)
	}
}

func runEntry() {
	settings, err := config.Load(os.Args[2])
	exitOn(err)
	host := &entryHost{settings: settings}
	serve(map[ready.Listener]spoke.Address{
		ready.Caller: settings.Caller, ready.Internal: settings.Internal, ready.Admin: settings.Admin,
	}, map[ready.Listener]http.Handler{
		ready.Caller: host, ready.Internal: host, ready.Admin: admin.NewHandler(host, codec{}, settings.AdminKeys),
	})
}

// runStandin is a stub of a stand-in that stores the faults it receives and returns them.
func runStandin() {
	var mu sync.Mutex
	faults := []byte("none")
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		if r.Method == http.MethodPost {
			faults, _ = io.ReadAll(r.Body)
			return
		}
		_, _ = w.Write(faults)
	})
	serve(map[ready.Listener]spoke.Address{ready.Service: spoke.Address(os.Args[5])},
		map[ready.Listener]http.Handler{ready.Service: handler})
}

func runSpokectl() {
	os.Exit(tool.New(os.Stdin, os.Stdout, os.Stderr).Run(context.Background(), os.Args[1:]))
}

func serve(wanted map[ready.Listener]spoke.Address, handlers map[ready.Listener]http.Handler) {
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM)
	line := ready.Line{Addresses: make(map[ready.Listener]spoke.Address)}
	for name, address := range wanted {
		listener, err := net.Listen("tcp", string(address))
		exitOn(err)
		line.Addresses[name] = spoke.Address(listener.Addr().String())
		go func() { exitOn(http.Serve(listener, handlers[name])) }()
	}
	exitOn(ready.Write(os.Stdout, line))
	<-ended
	os.Exit(0)
}

func exitOn(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
