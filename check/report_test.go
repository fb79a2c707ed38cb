package check_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/check"
)

// Guards against a report that hides all findings but the first.
func TestReportListsAllFindings(t *testing.T) {
	var report check.Report
	assert.NilError(t, report.Err())

	report.Addf("entry.toml: data-centre", "is empty")
	report.Addf("entry.toml: caller-address", "%q is no IP number and port", "localhost")
	assert.Error(t, report.Err(), "entry.toml: data-centre: is empty\n"+
		"entry.toml: caller-address: \"localhost\" is no IP number and port")
}
