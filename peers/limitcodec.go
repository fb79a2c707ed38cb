package peers

import (
	"time"

	"magnoliaspoke.example/spoke"
)

type limitRow struct {
	startRow
	// Rate is in requests per second.
	Rate    float64 `json:"rate"`
	IsEnded bool    `json:"ended,omitempty"`
	AgeMs   int64   `json:"age-ms,omitempty"`
	Sent    int     `json:"sent,omitempty"`
}

func encodeLimit(limit spoke.UpstreamLimit) limitRow {
	return limitRow{encodeStart(limit.Upstream), float64(limit.Rate), limit.IsEnded, limit.Age.Milliseconds(), limit.Sent}
}

func decodeLimit(row limitRow) spoke.UpstreamLimit {
	return spoke.UpstreamLimit{
		Upstream: decodeStart(row.startRow), Rate: spoke.RequestRate(max(row.Rate, 0)), IsEnded: row.IsEnded,
		Age: time.Duration(row.AgeMs) * time.Millisecond, Sent: max(row.Sent, 0),
	}
}
