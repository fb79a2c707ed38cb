package tool

import (
	"context"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/admin"
	"magnoliaspoke.example/spoke/events"
)

func (s *session) timeline(ctx context.Context, opts timelineSettings) error {
	filter, err := s.filter(opts)
	if err != nil {
		return err
	}
	pages, partial := callAll(ctx, s, func(ctx context.Context, client *admin.Client) (spoke.EventPage, error) {
		return client.Events(ctx, filter)
	})
	if pages == nil {
		return partial
	}
	var lists [][]spoke.Event
	for _, page := range pages {
		lists = append(lists, page.Events)
		if page.Overwritten > 0 {
			s.warn("host %s no longer holds its oldest %d events", page.Host, page.Overwritten)
		}
	}
	if err := s.writeEvents(events.Merge(lists...), opts.Trace); err != nil {
		return err
	}
	return partial
}

func (s *session) filter(opts timelineSettings) (spoke.EventFilter, error) {
	filter := spoke.EventFilter{
		Request:  spoke.RequestID(opts.Request),
		Upstream: spoke.UpstreamID(opts.Upstream),
		Ticket:   spoke.TicketNumber(opts.Ticket),
	}
	var err error
	if filter.Since, err = s.parseTime(opts.Since, "since"); err != nil {
		return filter, err
	}
	filter.Until, err = s.parseTime(opts.Until, "until")
	return filter, err
}

func (s *session) writeEvents(merged []spoke.Event, trace string) error {
	switch {
	case trace == standardStream:
		return events.WriteTrace(s.output, merged)
	case trace != "":
		return s.writeTraceFile(merged, trace)
	case s.settings.JSON:
		return s.writeEventsJSON(merged)
	default:
		return events.WriteText(s.output, merged)
	}
}

func (s *session) writeTraceFile(merged []spoke.Event, path string) error {
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "trace file")
	}
	if err := events.WriteTrace(file, merged); err != nil {
		file.Close()
		return err
	}
	s.warn("%d events written to %s", len(merged), path)
	return eris.Wrap(file.Close(), "trace file")
}

func (s *session) writeEventsJSON(merged []spoke.Event) error {
	text, err := events.Encode(merged)
	if err != nil {
		return err
	}
	_, err = io.WriteString(s.output, string(text)+"\n")
	return eris.Wrap(err, "write events")
}
