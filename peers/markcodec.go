package peers

import (
	"time"

	"magnoliaspoke.example/spoke"
)

// fallRow is a crash of a brittle upstream; its age is relative because clocks differ between hosts.
type fallRow struct {
	ID    string `json:"id"`
	AgeMs int64  `json:"age-ms"`
}

func encodeMark(mark spoke.QuarantineMark, now time.Time) markRow {
	row := markRow{
		Fingerprint: string(mark.Fingerprint), Deaths: mark.Deaths, ForMs: mark.Expires.Sub(now).Milliseconds(),
		Upstreams: encodeUpstreams(mark.Upstreams),
	}
	for _, fall := range mark.Falls {
		if fall.Upstream != "" {
			row.Falls = append(row.Falls, fallRow{string(fall.Upstream), now.Sub(fall.At).Milliseconds()})
		}
	}
	if !mark.Served.IsZero() {
		row.ServedMs = max(now.Sub(mark.Served).Milliseconds(), 1)
	}
	return row
}

func decodeMark(row markRow, now time.Time) spoke.QuarantineMark {
	mark := spoke.QuarantineMark{
		Fingerprint: spoke.Fingerprint(row.Fingerprint), Deaths: row.Deaths,
		Expires:   now.Add(time.Duration(row.ForMs) * time.Millisecond),
		Upstreams: decodeUpstreams(row.Upstreams),
	}
	for i, fall := range row.Falls[:min(len(row.Falls), len(mark.Falls))] {
		mark.Falls[i] = spoke.QuarantineFall{
			Upstream: spoke.UpstreamID(fall.ID), At: now.Add(-time.Duration(fall.AgeMs) * time.Millisecond),
		}
	}
	if row.ServedMs > 0 {
		mark.Served = now.Add(-time.Duration(row.ServedMs) * time.Millisecond)
	}
	return mark
}

// encodeUpstreams returns the upstreams of a mark without empty entries.
func encodeUpstreams(upstreams [spoke.MarkUpstreams]spoke.UpstreamID) []string {
	var texts []string
	for _, id := range upstreams {
		if id != "" {
			texts = append(texts, string(id))
		}
	}
	return texts
}

// decodeUpstreams returns the first upstreams of a mark.
func decodeUpstreams(texts []string) (upstreams [spoke.MarkUpstreams]spoke.UpstreamID) {
	for i, text := range texts[:min(len(texts), len(upstreams))] {
		upstreams[i] = spoke.UpstreamID(text)
	}
	return upstreams
}
