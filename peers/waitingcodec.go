package peers

import "magnoliaspoke.example/spoke"

type waitingRow struct {
	Service string `json:"service"`
	Urgency int    `json:"urgency"`
	Tokens  int64  `json:"tokens"`
	// Calls is left out if it equals Tokens. Reports of earlier versions never have it.
	Calls int `json:"calls,omitempty"`
}

func encodeWaiting(work spoke.WaitingWork) waitingRow {
	row := waitingRow{Service: string(work.Service), Urgency: int(work.Urgency), Tokens: int64(work.Tokens)}
	if work.Calls != int(work.Tokens) {
		row.Calls = work.Calls
	}
	return row
}

func decodeWaiting(row waitingRow) spoke.WaitingWork {
	work := spoke.WaitingWork{
		Service: spoke.ServiceName(row.Service), Urgency: spoke.Priority(row.Urgency), Calls: row.Calls, Tokens: spoke.TokenCount(row.Tokens),
	}
	if work.Calls == 0 {
		work.Calls = int(row.Tokens)
	}
	return work
}
