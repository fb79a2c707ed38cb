package peers

import (
	"time"

	"magnoliaspoke.example/spoke"
)

// coldRow is not known to earlier versions, which take upstreams for warm.
type coldRow struct {
	startRow
	// Cause says what the host's own statement rests on, empty if it makes none.
	Cause  string `json:"cause,omitempty"`
	AgeMs  int64  `json:"age-ms,omitempty"`
	LeftMs int64  `json:"left-ms,omitempty"`
	IsOpen bool   `json:"open,omitempty"`
	// AskedMs is the age of the last health request, at least one millisecond, zero if there was none lately.
	AskedMs int64 `json:"asked-ms,omitempty"`
	Sent    int   `json:"sent,omitempty"`
}

func encodeCold(cold spoke.UpstreamColdness) coldRow {
	row := coldRow{startRow: encodeStart(cold.Upstream), Cause: cold.Cause, AgeMs: cold.Age.Milliseconds(), IsOpen: cold.IsOpen, Sent: cold.Sent}
	// Rounded up, so that the time is never too short.
	row.LeftMs = (cold.Left + time.Millisecond - 1).Milliseconds()
	if cold.IsAsked {
		row.AskedMs = max(cold.AskedAge.Milliseconds(), 1)
	}
	return row
}

func decodeCold(row coldRow) spoke.UpstreamColdness {
	return spoke.UpstreamColdness{
		Upstream: decodeStart(row.startRow), Cause: row.Cause, IsOpen: row.IsOpen, Sent: max(row.Sent, 0),
		Age: time.Duration(row.AgeMs) * time.Millisecond, Left: time.Duration(row.LeftMs) * time.Millisecond,
		IsAsked: row.AskedMs > 0, AskedAge: time.Duration(row.AskedMs) * time.Millisecond,
	}
}
