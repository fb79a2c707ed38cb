package slope

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

const (
	// Processor is processor time as a fraction of one core.
	Processor Unit = "core"
	// Traffic is network traffic in both directions in bytes per second.
	Traffic Unit = "bytes/s"
	// Memory is heap size in bytes.
	Memory Unit = "bytes"
	// PlatformReads is the number of platform reads per second by the whole fleet, including long-polling watches.
	PlatformReads Unit = "reads/s"
	// PlatformWrites is the number of platform writes per second by the whole fleet, including lease calls.
	PlatformWrites Unit = "writes/s"
)

type (
	// Unit is the unit of the costs of a row.
	Unit string

	// Row is the cost of one component, measured at several sizes and extrapolated to a target size.
	Row struct {
		// Role is the component that causes the cost.
		Role string
		// Mechanism describes how the design bounds the cost.
		Mechanism string
		Unit      Unit
		// Variable names the quantity that the sizes of the points count, such as hosts.
		Variable string
		Points   []Point
		// Target is the size that the cost is extrapolated to.
		Target float64
		// Scale is the factor from the cost of a point to that of the row, such as the operations per second at the target.
		Scale float64
	}

	// Budget is the upper limit of the sum of all rows of a unit.
	Budget struct {
		Unit  Unit
		Bound float64
	}

	// MissedError lists the targets that a complete run missed.
	MissedError struct{ Missed []string }
)

// Error returns the missed targets as one line.
func (e *MissedError) Error() string { return "targets missed: " + strings.Join(e.Missed, "; ") }

// Line returns the fit of the row's points.
func (r Row) Line() Line { return Fit(r.Points) }

// AtTarget returns the extrapolated cost at the target size.
func (r Row) AtTarget() float64 { return r.Scale * r.Line().At(r.Target) }

// Sum adds up the costs at the target of all rows of a unit.
func Sum(rows []Row, unit Unit) float64 {
	total := 0.0
	for _, row := range rows {
		if row.Unit == unit {
			total += row.AtTarget()
		}
	}
	return total
}

// Check returns a MissedError with the budgets that are exceeded, or nil.
func Check(rows []Row, budgets []Budget) error {
	var missed []string
	for _, budget := range budgets {
		if sum := Sum(rows, budget.Unit); sum > budget.Bound {
			missed = append(missed, fmt.Sprintf("%s %s, bound %s", formatCost(sum, budget.Unit), budget.Unit, formatCost(budget.Bound, budget.Unit)))
		}
	}
	if len(missed) == 0 {
		return nil
	}
	return &MissedError{Missed: missed}
}

// Print writes a table of the rows, and of the sums with their budgets.
func Print(out io.Writer, rows []Row, budgets []Budget) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "role\tvariable\tmeasured (size: cost)\tworst misfit\ttarget size\tat target\tunit")
	for _, row := range rows {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%g\t%s\t%s\n", row.Role, row.Variable, formatPoints(row),
			formatCost(row.Scale*row.Line().MaxResidual, row.Unit), row.Target, formatCost(row.AtTarget(), row.Unit), row.Unit)
	}
	for _, budget := range budgets {
		_, _ = fmt.Fprintf(table, "sum\t\t\t\t\t%s of %s\t%s\n", formatCost(Sum(rows, budget.Unit), budget.Unit),
			formatCost(budget.Bound, budget.Unit), budget.Unit)
	}
	return table.Flush()
}

func formatPoints(row Row) string {
	texts := make([]string, 0, len(row.Points))
	for _, p := range row.Points {
		texts = append(texts, fmt.Sprintf("%g: %s", p.Size, formatCost(row.Scale*p.Cost, row.Unit)))
	}
	return strings.Join(texts, ", ")
}

func formatCost(value float64, unit Unit) string {
	switch unit {
	case Processor:
		return fmt.Sprintf("%.3f%%", 100*value)
	case Memory, Traffic:
		return fmt.Sprintf("%.1f k", value/1000)
	}
	return fmt.Sprintf("%.1f", value)
}
