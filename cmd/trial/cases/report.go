package cases

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

const (
	// AtMost bounds a row from above.
	AtMost Bound = "at most"
	// AtLeast bounds a row from below.
	AtLeast Bound = "at least"
)

type (
	// Bound says on which side of its target a row must stay.
	Bound string

	// Row is one figure of one run beside its baseline from the same run.
	Row struct {
		Case string
		User string
		Name string
		Seed uint64
		// Value is compared with the target; Measured and Baseline explain it.
		Value    float64
		Measured string
		Baseline string
		Bound    Bound
		Target   float64
	}

	// Report collects the rows of all runs.
	Report struct{ Rows []Row }
)

// IsMet reports whether the row is on the right side of its target.
func (r Row) IsMet() bool {
	if r.Bound == AtLeast {
		return r.Value >= r.Target
	}
	return r.Value <= r.Target
}

// Missed names the rows whose median over the seeds misses the target.
func (r Report) Missed() []string {
	var missed []string
	for _, group := range r.groups() {
		middle := group[len(group)/2]
		if !middle.IsMet() {
			missed = append(missed, fmt.Sprintf("%s/%s/%s: median %.3g, target %s %g", middle.User, middle.Case, middle.Name, middle.Value, middle.Bound, middle.Target))
		}
	}
	return missed
}

// Print writes one line for each figure, with the spread over the seeds.
func (r Report) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "user\tcase\tfigure\tmedian\tspread\ttarget\tmet\tmeasured\tbaseline")
	for _, group := range r.groups() {
		middle := group[len(group)/2]
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%.3g\t%.3g to %.3g\t%s %g\t%t\t%s\t%s\n",
			middle.User, middle.Case, middle.Name, middle.Value, group[0].Value, group[len(group)-1].Value,
			middle.Bound, middle.Target, middle.IsMet(), middle.Measured, middle.Baseline)
	}
	return table.Flush()
}

// groups returns the rows of each figure sorted by value, in order of appearance.
func (r Report) groups() [][]Row {
	var order []string
	grouped := make(map[string][]Row)
	for _, row := range r.Rows {
		key := row.User + "/" + row.Case + "/" + row.Name
		if _, known := grouped[key]; !known {
			order = append(order, key)
		}
		grouped[key] = append(grouped[key], row)
	}
	groups := make([][]Row, 0, len(order))
	for _, key := range order {
		group := grouped[key]
		slices.SortFunc(group, func(a, b Row) int {
			switch {
			case a.Value < b.Value:
				return -1
			case a.Value > b.Value:
				return 1
			}
			return 0
		})
		groups = append(groups, group)
	}
	return groups
}
