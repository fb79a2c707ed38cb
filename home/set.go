package home

import (
	"net/url"
	"slices"
	"strings"

	"magnoliaspoke.example/spoke"
)

type (
	// Regions maps data centres to their regions.
	Regions map[spoke.DataCentreID]spoke.RegionID

	// Set is the homes of a call. The zero value is that of a call without restriction.
	Set struct {
		isRestricted bool
		// regions are sorted.
		regions []spoke.RegionID
		label   string
	}
)

// Of returns the regions that are in each of the lists that are not empty. Without such a list there is no restriction.
func Of(lists ...[]spoke.RegionID) Set {
	var s Set
	for _, list := range lists {
		switch {
		case len(list) == 0:
		case !s.isRestricted:
			s = Set{isRestricted: true, regions: slices.Compact(slices.Sorted(slices.Values(list)))}
		default:
			s.regions = slices.DeleteFunc(s.regions, func(id spoke.RegionID) bool { return !slices.Contains(list, id) })
		}
	}
	// An unknown region has no name.
	s.regions = slices.DeleteFunc(s.regions, func(id spoke.RegionID) bool { return id == "" })
	if s.isRestricted {
		s.label = labelOf(s.regions)
	}
	return s
}

func labelOf(regions []spoke.RegionID) string {
	names := make([]string, len(regions))
	for i, id := range regions {
		names[i] = url.QueryEscape(string(id))
	}
	return "homes-" + strings.Join(names, ",")
}

// IsRestricted reports whether the call has homes.
func (s Set) IsRestricted() bool { return s.isRestricted }

// IsEmpty reports whether no region may process the call.
func (s Set) IsEmpty() bool { return s.isRestricted && len(s.regions) == 0 }

// Allows reports whether a region may process the call. An unknown one, without a name, may process no call with homes.
func (s Set) Allows(region spoke.RegionID) bool {
	return !s.isRestricted || slices.Contains(s.regions, region)
}

// Covers reports whether each region that may process a call with the other homes may process one with these.
func (s Set) Covers(other Set) bool {
	if !s.isRestricted {
		return true
	}
	return other.isRestricted && !slices.ContainsFunc(other.regions, func(id spoke.RegionID) bool { return !s.Allows(id) })
}

// Equal reports whether both are the same homes.
func (s Set) Equal(other Set) bool { return s.label == other.label }

// Label names the homes in letters of a header, the same for equal ones and another for all others; it is empty without
// restriction.
func (s Set) Label() string { return s.label }

// MayRelay reports whether a host in one region may pass the body of a call on that was received in another one.
func (s Set) MayRelay(through, receivedIn spoke.RegionID) bool {
	return s.Allows(through) || (through != "" && through == receivedIn)
}
