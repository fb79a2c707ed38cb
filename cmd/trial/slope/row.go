package slope

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

const (
	// Processor is processor time as a share of one core.
	Processor Unit = "core"
	// Traffic is in bytes per second in both directions.
	Traffic Unit = "bytes/s"
	// Memory is in bytes.
	Memory Unit = "bytes"
	// PlatformReads counts reads of the whole fleet per second, waiting watches included.
	PlatformReads Unit = "reads/s"
	// PlatformWrites counts writes of the whole fleet per second, lease calls included.
	PlatformWrites Unit = "writes/s"
)

type (
	// Unit is what a row measures.
	Unit string

	// Row is a measured slope with its extrapolation.
	Row struct {
		// Role is the part that pays the cost.
		Role string
		// Mechanism names what keeps the cost in bounds.
		Mechanism string
		Unit      Unit
		// Variable is what grows.
		Variable string
		Points   []Point
		// Target is the size that decides the design.
		Target float64
		// Scale turns the cost of one operation into the cost at the target's rate.
		Scale float64
	}

	// Budget is the bound of the sum of all rows of a unit.
	Budget struct {
		Unit  Unit
		Bound float64
	}

	// MissedError lists the bounds that a complete run did not meet.
	MissedError struct{ Missed []string }
)

// Error lists the missed bounds.
func (e *MissedError) Error() string { return "targets missed: " + strings.Join(e.Missed, "; ") }

// Line returns the fit of the row's points.
func (r Row) Line() Line { return Fit(r.Points) }

// AtTarget returns the cost at the size that decides the design.
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

// Check returns a MissedError if a sum exceeds its budget.
func Check(rows []Row, budgets []Budget) error {
	var missed []string
	for _, budget := range budgets {
		if sum := Sum(rows, budget.Unit); sum > budget.Bound {
			missed = append(missed, fmt.Sprintf("%s %s, bound %s", format(sum, budget.Unit), budget.Unit, format(budget.Bound, budget.Unit)))
		}
	}
	if len(missed) == 0 {
		return nil
	}
	return &MissedError{Missed: missed}
}

// Print writes the rows and the sums beside their budgets.
func Print(out io.Writer, rows []Row, budgets []Budget) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "role\tvariable\tmeasured (size: cost)\tworst misfit\ttarget size\tat target\tunit")
	for _, row := range rows {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%g\t%s\t%s\n", row.Role, row.Variable, points(row),
			format(row.Scale*row.Line().Error, row.Unit), row.Target, format(row.AtTarget(), row.Unit), row.Unit)
	}
	for _, budget := range budgets {
		_, _ = fmt.Fprintf(table, "sum\t\t\t\t\t%s of %s\t%s\n", format(Sum(rows, budget.Unit), budget.Unit),
			format(budget.Bound, budget.Unit), budget.Unit)
	}
	return table.Flush()
}

func points(row Row) string {
	texts := make([]string, 0, len(row.Points))
	for _, p := range row.Points {
		texts = append(texts, fmt.Sprintf("%g: %s", p.Size, format(row.Scale*p.Cost, row.Unit)))
	}
	return strings.Join(texts, ", ")
}

func format(value float64, unit Unit) string {
	switch unit {
	case Processor:
		return fmt.Sprintf("%.3f%%", 100*value)
	case Memory, Traffic:
		return fmt.Sprintf("%.1f k", value/1000)
	}
	return fmt.Sprintf("%.1f", value)
}
