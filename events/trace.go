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
	// scopeThread draws an instant event in its own lane only.
	scopeThread = "t"
	// commonLane is the lane of events without a request.
	commonLane          = 0
	nanosPerMicrosecond = 1000.0
)

type (
	traceEventCodec struct {
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

	traceCodec struct {
		Events []traceEventCodec `json:"traceEvents"`
		Unit   string            `json:"displayTimeUnit"`
	}

	// traceLayout numbers hosts as processes and the requests of a host as threads.
	traceLayout struct {
		hosts map[spoke.HostID]int
		lanes map[spoke.HostID]map[spoke.RequestID]int
		out   []traceEventCodec
	}
)

// WriteTrace writes events as a file in the Trace Event Format of browsers' trace viewers:
// one process per host, one thread per request of that host.
func WriteTrace(output io.Writer, events []spoke.Event) error {
	layout := traceLayout{
		hosts: make(map[spoke.HostID]int),
		lanes: make(map[spoke.HostID]map[spoke.RequestID]int),
		out:   []traceEventCodec{},
	}
	for _, event := range events {
		layout.add(event)
	}
	trace := traceCodec{Events: layout.out, Unit: "ms"}
	return eris.Wrap(json.NewEncoder(output).Encode(trace), "write trace file")
}

func (l *traceLayout) add(event spoke.Event) {
	process := l.process(event.Host)
	raw := traceEventCodec{
		Name:    string(event.Kind),
		Phase:   phaseInstant,
		Time:    float64(event.At.Wall) / nanosPerMicrosecond,
		Process: process,
		Thread:  l.lane(event, process),
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
	l.lanes[host] = make(map[spoke.RequestID]int)
	l.name("process_name", string(host), number, commonLane)
	return number
}

func (l *traceLayout) lane(event spoke.Event, process int) int {
	if event.Request == "" {
		return commonLane
	}
	lanes := l.lanes[event.Host]
	if number, ok := lanes[event.Request]; ok {
		return number
	}
	number := len(lanes) + 1
	lanes[event.Request] = number
	l.name("thread_name", string(event.Request), process, number)
	return number
}

func (l *traceLayout) name(kind, name string, process, thread int) {
	l.out = append(l.out, traceEventCodec{
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
