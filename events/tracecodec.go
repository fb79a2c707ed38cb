package events

import (
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

const (
	phaseComplete = "X"
	phaseInstant  = "i"
	phaseMetadata = "M"
	// scopeThread makes a viewer draw an instant event in its own thread only.
	scopeThread = "t"
	// sharedThread is the thread of events without a request.
	sharedThread        = 0
	nanosPerMicrosecond = 1000.0
)

type (
	traceEventJSON struct {
		Name  string `json:"name"`
		Phase string `json:"ph"`
		// Time and Duration are in microseconds.
		Time     float64        `json:"ts"`
		Duration float64        `json:"dur,omitempty"`
		Process  int            `json:"pid"`
		Thread   int            `json:"tid"`
		Scope    string         `json:"s,omitempty"`
		Args     map[string]any `json:"args,omitempty"`
	}

	traceJSON struct {
		Events []traceEventJSON `json:"traceEvents"`
		Unit   string           `json:"displayTimeUnit"`
	}

	// traceLayout assigns process numbers to hosts and thread numbers to the requests of a host.
	traceLayout struct {
		hosts   map[spoke.HostID]int
		threads map[spoke.HostID]map[spoke.RequestID]int
		out     []traceEventJSON
	}
)

// WriteTrace writes events in the Trace Event Format of browsers' trace viewers, with one
// process per host and one thread per request of that host.
func WriteTrace(output io.Writer, events []spoke.Event) error {
	layout := traceLayout{
		hosts:   make(map[spoke.HostID]int),
		threads: make(map[spoke.HostID]map[spoke.RequestID]int),
		out:     []traceEventJSON{},
	}
	for _, event := range events {
		layout.add(event)
	}
	trace := traceJSON{Events: layout.out, Unit: "ms"}
	return eris.Wrap(json.NewEncoder(output).Encode(trace), "write trace file")
}

func (l *traceLayout) add(event spoke.Event) {
	process := l.process(event.Host)
	raw := traceEventJSON{
		Name:    string(event.Kind),
		Phase:   phaseInstant,
		Time:    float64(event.At.Wall) / nanosPerMicrosecond,
		Process: process,
		Thread:  l.thread(event, process),
		Args:    traceArgs(event),
	}
	if event.Duration > 0 {
		raw.Phase = phaseComplete
		raw.Duration = float64(event.Duration) / nanosPerMicrosecond
		raw.Time -= raw.Duration
	} else {
		raw.Scope = scopeThread
	}
	l.out = append(l.out, raw)
}

func (l *traceLayout) process(host spoke.HostID) int {
	if number, ok := l.hosts[host]; ok {
		return number
	}
	number := len(l.hosts) + 1
	l.hosts[host] = number
	l.threads[host] = make(map[spoke.RequestID]int)
	l.addMetadata("process_name", string(host), number, sharedThread)
	return number
}

func (l *traceLayout) thread(event spoke.Event, process int) int {
	if event.Request == "" {
		return sharedThread
	}
	threads := l.threads[event.Host]
	if number, ok := threads[event.Request]; ok {
		return number
	}
	number := len(threads) + 1
	threads[event.Request] = number
	l.addMetadata("thread_name", string(event.Request), process, number)
	return number
}

func (l *traceLayout) addMetadata(kind, name string, process, thread int) {
	l.out = append(l.out, traceEventJSON{
		Name:    kind,
		Phase:   phaseMetadata,
		Process: process,
		Thread:  thread,
		Args:    map[string]any{"name": name},
	})
}

func traceArgs(event spoke.Event) map[string]any {
	args := map[string]any{"clock": FormatTime(event.At)}
	texts := map[string]string{
		"attempt":  string(event.Attempt),
		"detail":   event.Detail,
		"request":  string(event.Request),
		"upstream": string(event.Upstream),
	}
	for key, text := range texts {
		if text != "" {
			args[key] = text
		}
	}
	if event.Ticket != 0 {
		args["ticket"] = uint64(event.Ticket)
	}
	return args
}
