package cases

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

const (
	// AtMost means that the value must not exceed the target.
	AtMost Bound = "at most"
	// AtLeast means that the value must not be below the target.
	AtLeast Bound = "at least"
)

type (
	// Bound is the side of the target on which a value must be.
	Bound string

	// Row is one result of one run with its baseline from the same run.
	Row struct {
		Case         string
		Installation string
		Name         string
		Seed         uint64
		// Value is compared with the target; Measured and Baseline show what it was computed from.
		Value    float64
		Measured string
		Baseline string
		Bound    Bound
		Target   float64
	}

	// Report is the list of the rows of all runs.
	Report struct{ Rows []Row }
)

// IsMet reports whether the value meets the target.
func (r Row) IsMet() bool {
	if r.Bound == AtLeast {
		return r.Value >= r.Target
	}
	return r.Value <= r.Target
}

// Missed returns a line for each result whose median over the seeds misses the target.
func (r Report) Missed() []string {
	var missed []string
	for _, group := range r.groups() {
		median := group[len(group)/2]
		if !median.IsMet() {
			missed = append(missed, fmt.Sprintf("%s/%s/%s: median %.3g, target %s %g", median.Installation, median.Case, median.Name, median.Value, median.Bound, median.Target))
		}
	}
	return missed
}

// Print writes a table with one line for each result, showing the median and the range over the seeds.
func (r Report) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "user\tcase\tfigure\tmedian\tspread\ttarget\tmet\tmeasured\tbaseline")
	for _, group := range r.groups() {
		median := group[len(group)/2]
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%.3g\t%.3g to %.3g\t%s %g\t%t\t%s\t%s\n",
			median.Installation, median.Case, median.Name, median.Value, group[0].Value, group[len(group)-1].Value,
			median.Bound, median.Target, median.IsMet(), median.Measured, median.Baseline)
	}
	return table.Flush()
}

// groups groups the rows by result, in order of first appearance, each group sorted by value.
func (r Report) groups() [][]Row {
	var order []string
	grouped := make(map[string][]Row)
	for _, row := range r.Rows {
		key := row.Installation + "/" + row.Case + "/" + row.Name
		if _, seen := grouped[key]; !seen {
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
