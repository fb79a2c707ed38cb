package wire

import (
	"strconv"
	"strings"

	"magnoliaspoke.example/spoke"
)

func formatClock(t spoke.HybridTime) string {
	return strconv.FormatInt(t.Wall, 10) + "." + strconv.FormatUint(uint64(t.Logical), 10)
}

func parseClock(text string) (spoke.HybridTime, bool) {
	wall, logical, found := strings.Cut(text, ".")
	if !found {
		return spoke.HybridTime{}, false
	}
	nanos, wallErr := strconv.ParseInt(wall, 10, 64)
	count, logicalErr := strconv.ParseUint(logical, 10, 32)
	if wallErr != nil || logicalErr != nil {
		return spoke.HybridTime{}, false
	}
	return spoke.HybridTime{Wall: nanos, Logical: uint32(count)}, true
}
