package peers

import (
	"math"
	"time"

	"magnoliaspoke.example/spoke"
)

// maxMilliseconds is the longest time that fits into a time.Duration, in milliseconds.
const maxMilliseconds = math.MaxInt64 / int64(time.Millisecond)

type (
	crashRow struct {
		startRow
		AgeMs    int64    `json:"age-ms,omitempty"`
		Parts    []uint64 `json:"parts,omitempty"`
		Repeated []uint64 `json:"repeated,omitempty"`
	}

	refutedRow struct {
		startRow
		AgeMs int64 `json:"age-ms,omitempty"`
	}

	servedPartRow struct {
		Part  uint64 `json:"part"`
		AgeMs int64  `json:"age-ms,omitempty"`
	}

	partMarkRow struct {
		Part        uint64   `json:"part"`
		With        []uint64 `json:"with,omitempty"`
		Revision    uint64   `json:"revision"`
		TermMs      int64    `json:"term-ms,omitempty"`
		RemainingMs int64    `json:"remaining-ms,omitempty"`
		IsEnded     bool     `json:"ended,omitempty"`
	}
)

func encodeCrashes(row *reportRow, report spoke.CrashReport) {
	for _, crash := range report.Crashes {
		row.Crashes = append(row.Crashes, crashRow{
			encodeStart(crash.Upstream), crash.Age.Milliseconds(), convert[uint64](crash.Parts), convert[uint64](crash.Repeated),
		})
	}
	for _, refuted := range report.Refuted {
		row.Refuted = append(row.Refuted, refutedRow{encodeStart(refuted.Upstream), refuted.Age.Milliseconds()})
	}
	for _, served := range report.Served {
		row.ServedParts = append(row.ServedParts, servedPartRow{uint64(served.Part), served.Age.Milliseconds()})
	}
	for _, mark := range report.Marks {
		row.PartMarks = append(row.PartMarks, partMarkRow{
			uint64(mark.Part), convert[uint64](mark.With), mark.Revision, mark.Term.Milliseconds(), mark.Remaining.Milliseconds(), mark.IsEnded,
		})
	}
}

// decodeCrashes drops crashes without an upstream. Values of any size are valid; their receiver bounds them.
func decodeCrashes(row reportRow) spoke.CrashReport {
	var report spoke.CrashReport
	for _, crash := range row.Crashes {
		if crash.ID == "" {
			continue
		}
		report.Crashes = append(report.Crashes, spoke.UpstreamCrash{
			Upstream: decodeStart(crash.startRow), Age: decodeMilliseconds(crash.AgeMs),
			Parts: convert[spoke.PartHash](crash.Parts), Repeated: convert[spoke.PartHash](crash.Repeated),
		})
	}
	for _, refuted := range row.Refuted {
		if refuted.ID != "" {
			report.Refuted = append(report.Refuted, spoke.RefutedCrash{Upstream: decodeStart(refuted.startRow), Age: decodeMilliseconds(refuted.AgeMs)})
		}
	}
	for _, served := range row.ServedParts {
		report.Served = append(report.Served, spoke.ServedPart{Part: spoke.PartHash(served.Part), Age: decodeMilliseconds(served.AgeMs)})
	}
	for _, mark := range row.PartMarks {
		report.Marks = append(report.Marks, spoke.PartMark{
			Part: spoke.PartHash(mark.Part), With: convert[spoke.PartHash](mark.With), Revision: mark.Revision,
			Term: decodeMilliseconds(mark.TermMs), Remaining: decodeMilliseconds(mark.RemainingMs), IsEnded: mark.IsEnded,
		})
	}
	return report
}

// decodeMilliseconds returns a time, or the nearest one that a time.Duration can hold.
func decodeMilliseconds(ms int64) time.Duration {
	return time.Duration(min(max(ms, -maxMilliseconds), maxMilliseconds)) * time.Millisecond
}
