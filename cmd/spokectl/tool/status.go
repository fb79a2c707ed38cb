package tool

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/admin"
)

const (
	columnGap = 2
	timeShown = 10 * time.Millisecond
)

func (s *session) status(ctx context.Context) error {
	if s.settings.JSON {
		texts, err := askAll(ctx, s, func(ctx context.Context, client *admin.Client) (json.RawMessage, error) {
			return client.StatusJSON(ctx)
		})
		if texts == nil {
			return err
		}
		if failure := s.writeJSON(texts); failure != nil {
			return failure
		}
		return err
	}
	statuses, err := askAll(ctx, s, func(ctx context.Context, client *admin.Client) (spoke.Status, error) {
		return client.Status(ctx)
	})
	if statuses == nil {
		return err
	}
	if failure := s.writeStatus(statuses); failure != nil {
		return failure
	}
	return err
}

func (s *session) writeStatus(statuses []spoke.Status) error {
	tables := []struct {
		head string
		rows [][]string
	}{
		{"HOST\tREGION\tDATA CENTRE\tREADY\tDRAINING\tTICKET\tREQUESTS\tSTARTED", hostRows(statuses)},
		{"SEEN BY\tPEER\tDATA CENTRE\tSTATE\tTICKET\tADDRESS", peerRows(statuses)},
		{"UPSTREAM\tSERVICE\tDATA CENTRE\tSTATE\tOWNER\tQUEUED\tRUNNING\tLIMIT\tWAIT\tVERSIONS", upstreamRows(statuses)},
		{"CACHE OF\tINDEXED\tBLOCKS\tUSED\tSIZE", cacheRows(statuses)},
		{"SEEN BY\tSTORE HOST\tSERVICE\tREACHABLE\tRATE\tQUEUE", storeRows(statuses)},
	}
	first := true
	for _, table := range tables {
		if len(table.rows) == 0 {
			continue
		}
		if !first {
			s.print("\n")
		}
		first = false
		if err := s.writeTable(table.head, table.rows); err != nil {
			return err
		}
	}
	return nil
}

func (s *session) writeTable(head string, rows [][]string) error {
	writer := tabwriter.NewWriter(s.output, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(writer, head)
	for _, row := range rows {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	return eris.Wrap(writer.Flush(), "write table")
}

func hostRows(statuses []spoke.Status) [][]string {
	var rows [][]string
	for _, status := range statuses {
		h := status.Host
		rows = append(rows, texts(h.ID, h.Region, h.DataCentre, yes(h.Ready), yes(h.Draining),
			h.Number, h.Requests, h.Started.UTC().Format(time.RFC3339)))
	}
	return rows
}

// peerRows lists per host only the peers that are not alive or have another ticket in
// force, because those need attention.
func peerRows(statuses []spoke.Status) [][]string {
	var rows [][]string
	for _, status := range statuses {
		for _, p := range status.Peers {
			if p.State != spoke.PeerAlive || p.Digest.Number != status.Host.Number {
				rows = append(rows, texts(status.Host.ID, p.ID, p.DataCentre, p.State, p.Digest.Number, p.Address))
			}
		}
	}
	return rows
}

// upstreamRows takes each upstream from its owner if that host was asked, because other
// hosts know its load from heartbeats only.
func upstreamRows(statuses []spoke.Status) [][]string {
	best := make(map[spoke.UpstreamID]spoke.UpstreamView)
	for _, status := range statuses {
		for _, view := range status.Upstreams {
			if _, known := best[view.Upstream.ID]; !known || view.Owner == status.Host.ID {
				best[view.Upstream.ID] = view
			}
		}
	}
	var rows [][]string
	for _, id := range slices.Sorted(maps.Keys(best)) {
		u, load := best[id].Upstream, best[id].Load
		rows = append(rows, texts(id, u.Service, u.DataCentre, upstreamState(best[id]), orDash(string(best[id].Owner)),
			load.Queued, load.Running, load.Limit, load.ExpectedWait.Round(timeShown), versions(load.Versions)))
	}
	return rows
}

func cacheRows(statuses []spoke.Status) [][]string {
	var rows [][]string
	for _, status := range statuses {
		for _, c := range status.Caches {
			rows = append(rows, texts(c.Upstream, yes(c.Indexed), c.Blocks, c.Used, c.Size))
		}
	}
	slices.SortStableFunc(rows, func(a, b []string) int { return strings.Compare(a[0], b[0]) })
	return rows
}

func storeRows(statuses []spoke.Status) [][]string {
	var rows [][]string
	for _, status := range statuses {
		for _, st := range status.Stores {
			rows = append(rows, texts(status.Host.ID, st.Store, st.Service, yes(st.Reachable),
				fmt.Sprintf("%.0f/s", float64(st.LinkRate)), st.LinkQueue))
		}
	}
	return rows
}

func upstreamState(view spoke.UpstreamView) string {
	switch {
	case view.Load.Dead:
		return "dead"
	case view.Load.Draining:
		return "draining"
	default:
		return string(view.Upstream.State)
	}
}

func versions(serving map[spoke.ModelName]spoke.ModelVersion) string {
	var parts []string
	for _, model := range slices.Sorted(maps.Keys(serving)) {
		parts = append(parts, fmt.Sprintf("%s=%s", model, serving[model]))
	}
	return orDash(strings.Join(parts, ","))
}

func texts(values ...any) []string {
	row := make([]string, 0, len(values))
	for _, value := range values {
		row = append(row, fmt.Sprint(value))
	}
	return row
}

func yes(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
