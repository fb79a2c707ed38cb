package events

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

// timeLayout includes microseconds, because causes and effects are only microseconds apart.
const timeLayout = "2006-01-02T15:04:05.000000Z"

// WriteText writes events as a table with one event per line.
func WriteText(output io.Writer, events []spoke.Event) error {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(table, "TIME\tHOST\tEVENT\tIDS\tDURATION\tDETAIL"); err != nil {
		return eris.Wrap(err, "write timeline")
	}
	for _, event := range events {
		if _, err := fmt.Fprintln(table, strings.Join(columns(event), "\t")); err != nil {
			return eris.Wrap(err, "write timeline")
		}
	}
	return eris.Wrap(table.Flush(), "write timeline")
}

func columns(event spoke.Event) []string {
	duration := "-"
	if event.Duration > 0 {
		duration = event.Duration.String()
	}
	return []string{
		time.Unix(0, event.At.Wall).UTC().Format(timeLayout),
		dashIfEmpty(string(event.Host)),
		string(event.Kind),
		dashIfEmpty(strings.Join(idTexts(event), " ")),
		duration,
		event.Detail,
	}
}

func idTexts(event spoke.Event) []string {
	var ids []string
	if event.Request != "" {
		ids = append(ids, "request="+string(event.Request))
	}
	if event.Attempt != "" {
		ids = append(ids, "attempt="+string(event.Attempt))
	}
	if event.Upstream != "" {
		ids = append(ids, "upstream="+string(event.Upstream))
	}
	if event.Ticket != 0 {
		ids = append(ids, fmt.Sprintf("ticket=%d", event.Ticket))
	}
	return ids
}

func dashIfEmpty(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
