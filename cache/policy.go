package cache

import (
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// defaultOverhead covers the control calls of an import, four round trips in a data centre.
	defaultOverhead = 10 * time.Millisecond
	// minUses is the number of times a prefix was seen from which it is known to return.
	minUses = 2
	// idleReturns is the share of returning prefixes that is worth an export on an idle link.
	idleReturns spoke.Share = 0.05
	// busyReturns is added to idleReturns in proportion to the use of the link.
	busyReturns spoke.Share = 0.6
	// fullLink is the use of the link above which nothing is exported.
	fullLink spoke.Share = 0.95
)

type (
	// CheaperImport imports all missing blocks if the link is predicted to be faster than the
	// computation, and none if it is not or if either rate is unknown.
	CheaperImport struct {
		// Overhead is the time that an import takes besides the link time.
		Overhead time.Duration
	}

	// AlwaysImport is the baseline that never recomputes by choice.
	AlwaysImport struct{}

	// NeverImport is the baseline that always recomputes.
	NeverImport struct{}

	// LikelyExport exports blocks that have returned or whose workspace's prefixes return; the
	// busier the link, the likelier the return must be.
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

// NewCheaperImport returns the policy with the usual overhead.
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

// ShouldExport compares the chance of a return with the use of the link.
func (LikelyExport) ShouldExport(query spoke.ExportQuery) bool {
	if query.LinkUtilisation > fullLink {
		return false
	}
	if query.Uses >= minUses {
		return true
	}
	return query.ReuseRate >= idleReturns+busyReturns*query.LinkUtilisation
}

// ShouldExport returns true.
func (AlwaysExport) ShouldExport(spoke.ExportQuery) bool { return true }

// ShouldExport returns false.
func (NeverExport) ShouldExport(spoke.ExportQuery) bool { return false }

// LinkTime predicts the time to import all blocks of a query, queue included; zero if the
// rate is unknown.
func LinkTime(query spoke.ImportQuery) time.Duration {
	size := query.LinkQueue + spoke.ByteSize(query.Blocks)*query.BlockLength
	return quotient(float64(size), float64(query.LinkRate))
}

// PrefillTime predicts the time to recompute all blocks of a query; zero if the rate is unknown.
func PrefillTime(query spoke.ImportQuery) time.Duration {
	tokens := spoke.TokenCount(query.Blocks) * query.BlockTokens
	return quotient(float64(tokens), float64(query.PrefillRate))
}

func quotient(units, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(units / rate * float64(time.Second))
}
