package check

import (
	"fmt"
	"strings"
)

type (
	// Finding is a fault of an input at a place such as a key of a file.
	Finding struct {
		Place  string
		Reason string
	}

	// Report collects findings; a report with findings is an error.
	Report struct {
		Findings []Finding
	}
)

// Addf adds a finding with a formatted reason.
func (r *Report) Addf(place, format string, args ...any) {
	r.Findings = append(r.Findings, Finding{Place: place, Reason: fmt.Sprintf(format, args...)})
}

// Err returns the report if it holds findings, else nil.
func (r *Report) Err() error {
	if len(r.Findings) == 0 {
		return nil
	}
	return r
}

// Error lists all findings, one per line.
func (r *Report) Error() string {
	lines := make([]string, 0, len(r.Findings))
	for _, finding := range r.Findings {
		lines = append(lines, finding.Place+": "+finding.Reason)
	}
	return strings.Join(lines, "\n")
}
