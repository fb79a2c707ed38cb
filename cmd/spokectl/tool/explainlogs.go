package tool

import (
	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/logs"
)

// explainFromLogs prints the log lines of a request, marked with an asterisk, and the lines that its
// host logged shortly before and during it without a request id. It also writes them to a trace file
// if one is named.
func (s *session) explainFromLogs(opts explainSettings) error {
	entries, report, err := logs.ReadDirectory(opts.Logs)
	if err != nil {
		return err
	}
	for _, finding := range report.Findings {
		s.warn("%s: %s", finding.Place, finding.Reason)
	}
	explained := logs.Explain(entries, spoke.RequestID(opts.Request))
	if len(explained) == 0 {
		return eris.Errorf("no log lines of request %q in %q", opts.Request, opts.Logs)
	}
	for _, entry := range explained {
		s.print("%s\n", entry.Text())
	}
	if opts.Trace == "" {
		return nil
	}
	return s.writeTraceFile(logs.Events(explained), opts.Trace)
}
