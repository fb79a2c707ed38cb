package tool

import (
	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/logs"
)

// explainFromLogs shows the lines of a request, marked with a star, among the changes of what its
// host knew.
func (s *session) explainFromLogs(directory string, request spoke.RequestID) error {
	entries, report, err := logs.ReadDirectory(directory)
	if err != nil {
		return err
	}
	for _, finding := range report.Findings {
		s.warn("%s: %s", finding.Place, finding.Reason)
	}
	explained := logs.Explain(entries, request)
	if len(explained) == 0 {
		return eris.Errorf("no line of request %q in %q", request, directory)
	}
	for _, entry := range explained {
		s.print("%s\n", entry.Text())
	}
	return nil
}
