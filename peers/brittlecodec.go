package peers

import (
	"time"

	"magnoliaspoke.example/spoke"
)

type brittleRow struct {
	startRow
	Most     int   `json:"most"`
	IsEnded  bool  `json:"ended,omitempty"`
	AgeMs    int64 `json:"age-ms,omitempty"`
	Rejected int   `json:"rejected,omitempty"`
}

func encodeBrittle(brittle spoke.UpstreamBrittleness) brittleRow {
	return brittleRow{encodeStart(brittle.Upstream), int(brittle.Most), brittle.IsEnded, brittle.Age.Milliseconds(), int(brittle.Rejected)}
}

func decodeBrittle(row brittleRow) spoke.UpstreamBrittleness {
	return spoke.UpstreamBrittleness{
		Upstream: decodeStart(row.startRow), Most: spoke.RejectionCount(max(row.Most, 0)), IsEnded: row.IsEnded,
		Age: time.Duration(row.AgeMs) * time.Millisecond, Rejected: spoke.RejectionCount(max(row.Rejected, 0)),
	}
}
