package plans

import (
	"fmt"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/config"
)

const (
	// RankUrgent is the most urgent rank.
	RankUrgent spoke.RankName = "urgent"
	// RankNormal is the middle rank.
	RankNormal spoke.RankName = "normal"
	// RankBatch is the least urgent rank.
	RankBatch spoke.RankName = "batch"

	// Language is the language service, which the engines serve.
	Language spoke.ServiceName = "language"
	// Booking is the plain service with non-repeatable calls.
	Booking spoke.ServiceName = "booking"
	// Model is the model of the language service.
	Model spoke.ModelName = "plume-1"
	// FirstVersion is the model version that engines start with.
	FirstVersion spoke.ModelVersion = "v1"
)

// Key returns the API key of a workspace.
func Key(id spoke.WorkspaceID) string { return "key-of-" + string(id) }

// WorkspaceID returns the ID of the workspace with the given index.
func WorkspaceID(index int) spoke.WorkspaceID {
	return spoke.WorkspaceID(fmt.Sprintf("workspace-%02d", index))
}

// Objects returns the ranks, services, model and the given number of workspaces of equal weight.
func Objects(workspaces int) []spoke.Object {
	objects := []spoke.Object{
		spoke.Rank{Name: RankUrgent, Order: 0, FirstTokenTarget: time.Second, Floor: 0.5, Worth: 10},
		spoke.Rank{Name: RankNormal, Order: 1, FirstTokenTarget: 4 * time.Second, Floor: 0.1, Worth: 3},
		spoke.Rank{Name: RankBatch, Order: 2, FirstTokenTarget: 15 * time.Second, Floor: 0.05, Worth: 1},
		spoke.Service{Name: Language, Kind: spoke.ServiceLanguage, DefaultRank: RankNormal},
		spoke.Service{
			Name: Booking, Kind: spoke.ServicePlain, DefaultRank: RankNormal,
			NonRepeatable: []spoke.CallPattern{{Method: "POST", PathPrefix: "/bookings"}},
		},
		spoke.Model{Name: Model, Service: Language, Version: FirstVersion},
	}
	for i := range workspaces {
		id := WorkspaceID(i)
		objects = append(objects, spoke.Workspace{
			ID: id, Weight: 1, KeyHashes: []spoke.KeyHash{config.HashKey(Key(id))},
			Services: []spoke.ServiceName{Language, Booking},
		})
	}
	return objects
}
