package tool

import (
	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/logs"
)

// explainFromLogs shows the lines of a request, marked with a star, among the changes of what its
// host knew, and writes them as a trace file where one is wanted.
func (s *session) explainFromLogs(wanted explainSettings) error {
	entries, report, err := logs.ReadDirectory(wanted.Logs)
	if err != nil {
		return err
	}
	for _, finding := range report.Findings {
		s.warn("%s: %s", finding.Place, finding.Reason)
	}
	explained := logs.Explain(entries, spoke.RequestID(wanted.Request))
	if len(explained) == 0 {
		return eris.Errorf("no line of request %q in %q", wanted.Request, wanted.Logs)
	}
	for _, entry := range explained {
		s.print("%s\n", entry.Text())
	}
	if wanted.Trace == "" {
		return nil
	}
	return s.writeTraceFile(logs.Events(explained), wanted.Trace)
}
