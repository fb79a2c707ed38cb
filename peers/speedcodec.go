package peers

import (
	"math"

	"magnoliaspoke.example/spoke"
)

// speedRow has short names, since reports of speeds may take 1,000 bytes a second for each host.
type speedRow struct {
	ID  string `json:"id"`
	Tag uint16 `json:"tag,omitempty"`
	// Recent and Usual hold a pace in percent and the number of calls.
	Recent [2]int64 `json:"recent"`
	Usual  [2]int64 `json:"usual"`
}

func encodeSpeeds(speeds []spoke.UpstreamSpeed) []speedRow {
	var rows []speedRow
	for _, speed := range speeds {
		rows = append(rows, speedRow{string(speed.Upstream), uint16(speed.Tag), encodeSample(speed.Recent), encodeSample(speed.Usual)})
	}
	return rows
}

func decodeSpeeds(rows []speedRow) []spoke.UpstreamSpeed {
	var speeds []spoke.UpstreamSpeed
	for _, row := range rows {
		speeds = append(speeds, spoke.UpstreamSpeed{
			Upstream: spoke.UpstreamID(row.ID), Tag: spoke.SpeedTag(row.Tag), Recent: decodeSample(row.Recent), Usual: decodeSample(row.Usual),
		})
	}
	return speeds
}

func encodeSample(sample spoke.SpeedSample) [2]int64 {
	return [2]int64{int64(math.Round(percent * sample.Pace)), int64(sample.Calls)}
}

func decodeSample(row [2]int64) spoke.SpeedSample {
	return spoke.SpeedSample{Pace: float64(row[0]) / percent, Calls: int(row[1])}
}
