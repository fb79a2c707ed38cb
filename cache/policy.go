package cache

import (
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// defaultOverhead covers the control calls of an import: four round trips in a data centre.
	defaultOverhead = 10 * time.Millisecond
	// minUses is the number of requests from which a prefix counts as reused.
	minUses = 2
	// idleMinReuse is the reuse share from which an export over an idle link is worthwhile.
	idleMinReuse spoke.Share = 0.05
	// busyMinReuse is added to idleMinReuse in proportion to the utilisation of the link.
	busyMinReuse spoke.Share = 0.6
	// maxExportUtilisation is the utilisation of the link above which no block is exported.
	maxExportUtilisation spoke.Share = 0.95
)

type (
	// CheaperImport imports all missing blocks if the import is predicted to take less time than
	// recomputing them, and none if it is not or if either rate is unknown.
	CheaperImport struct {
		// Overhead is the time that an import takes besides the transfer.
		Overhead time.Duration
	}

	// AlwaysImport is the baseline that imports all missing blocks.
	AlwaysImport struct{}

	// NeverImport is the baseline that recomputes all missing blocks.
	NeverImport struct{}

	// LikelyExport exports blocks whose prefix was reused or whose workspace reuses prefixes; the
	// required reuse share grows with the utilisation of the link.
	LikelyExport struct{}

	// AlwaysExport is the baseline that exports all blocks.
	AlwaysExport struct{}

	// NeverExport is the baseline that exports no block.
	NeverExport struct{}
)

var (
	_ spoke.ImportPolicy = CheaperImport{}
	_ spoke.ImportPolicy = AlwaysImport{}
	_ spoke.ImportPolicy = NeverImport{}
	_ spoke.ExportPolicy = LikelyExport{}
	_ spoke.ExportPolicy = AlwaysExport{}
	_ spoke.ExportPolicy = NeverExport{}
)

// NewCheaperImport returns the policy with the default overhead.
func NewCheaperImport() CheaperImport { return CheaperImport{Overhead: defaultOverhead} }

// Imports returns all blocks or none.
func (p CheaperImport) Imports(query spoke.ImportQuery) int {
	if query.LinkRate <= 0 || query.PrefillRate <= 0 {
		return 0
	}
	if p.Overhead+LinkTime(query) < PrefillTime(query) {
		return query.Blocks
	}
	return 0
}

// Imports returns all blocks.
func (AlwaysImport) Imports(query spoke.ImportQuery) int { return query.Blocks }

// Imports returns zero.
func (NeverImport) Imports(spoke.ImportQuery) int { return 0 }

// ShouldExport reports whether the reuse of the prefix justifies the utilisation of the link.
func (LikelyExport) ShouldExport(query spoke.ExportQuery) bool {
	if query.LinkUtilisation > maxExportUtilisation {
		return false
	}
	if query.Uses >= minUses {
		return true
	}
	return query.ReuseShare >= idleMinReuse+busyMinReuse*query.LinkUtilisation
}

// ShouldExport returns true.
func (AlwaysExport) ShouldExport(spoke.ExportQuery) bool { return true }

// ShouldExport returns false.
func (NeverExport) ShouldExport(spoke.ExportQuery) bool { return false }

// LinkTime predicts the time to transfer all blocks of a query, including the queue ahead of them;
// zero if the rate is unknown.
func LinkTime(query spoke.ImportQuery) time.Duration {
	size := query.LinkQueue + spoke.ByteSize(query.Blocks)*query.BlockLength
	return durationAtRate(float64(size), float64(query.LinkRate))
}

// PrefillTime predicts the time to recompute all blocks of a query; zero if the rate is unknown.
func PrefillTime(query spoke.ImportQuery) time.Duration {
	tokens := spoke.TokenCount(query.Blocks) * query.BlockTokens
	return durationAtRate(float64(tokens), float64(query.PrefillRate))
}

// durationAtRate returns the time for units at a rate per second; zero if the rate is unknown.
func durationAtRate(units, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(units / rate * float64(time.Second))
}
