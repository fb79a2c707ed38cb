package spoke

import (
	"maps"
	"slices"
	"strings"
)

type (
	// Ticket is a numbered change that carries the whole new state of every object it touches.
	Ticket struct {
		Number TicketNumber
		Author string
		// Objects holds the new state of each object the ticket sets.
		Objects []Object
		// Removed lists the objects that the ticket deletes.
		Removed []ObjectKey
	}

	// ManifestEntry is an object with the ticket that set it.
	ManifestEntry struct {
		Object Object
		SetBy  TicketNumber
	}

	// Manifest is an immutable snapshot of the whole configuration.
	Manifest struct {
		// Number is the highest accepted ticket that the snapshot contains.
		Number  TicketNumber
		Entries map[ObjectKey]ManifestEntry
	}
)

// Apply returns a new snapshot with the ticket's objects set and removed.
func (m *Manifest) Apply(t Ticket) *Manifest {
	next := &Manifest{Number: t.Number, Entries: make(map[ObjectKey]ManifestEntry)}
	if m != nil {
		maps.Copy(next.Entries, m.Entries)
	}
	for _, key := range t.Removed {
		delete(next.Entries, key)
	}
	for _, object := range t.Objects {
		next.Entries[object.Key()] = ManifestEntry{Object: object, SetBy: t.Number}
	}
	return next
}

// Service returns the service with the name.
func (m *Manifest) Service(name ServiceName) (Service, bool) {
	return lookup[Service](m, KindService, string(name))
}

// Rank returns the rank with the name.
func (m *Manifest) Rank(name RankName) (Rank, bool) {
	return lookup[Rank](m, KindRank, string(name))
}

// Model returns the model with the name.
func (m *Manifest) Model(name ModelName) (Model, bool) {
	return lookup[Model](m, KindModel, string(name))
}

// Workspace returns the workspace with the id.
func (m *Manifest) Workspace(id WorkspaceID) (Workspace, bool) {
	return lookup[Workspace](m, KindWorkspace, string(id))
}

// Upstream returns the upstream with the id.
func (m *Manifest) Upstream(id UpstreamID) (Upstream, bool) {
	return lookup[Upstream](m, KindUpstream, string(id))
}

// WorkspaceByKey returns the workspace that owns the hashed API key.
func (m *Manifest) WorkspaceByKey(hash KeyHash) (Workspace, bool) {
	for _, workspace := range m.Workspaces() {
		if slices.Contains(workspace.KeyHashes, hash) {
			return workspace, true
		}
	}
	return Workspace{}, false
}

// Workspaces returns all workspaces sorted by id.
func (m *Manifest) Workspaces() []Workspace { return all[Workspace](m) }

// Ranks returns all ranks, the most urgent first.
func (m *Manifest) Ranks() []Rank {
	ranks := all[Rank](m)
	slices.SortStableFunc(ranks, func(a, b Rank) int { return a.Order - b.Order })
	return ranks
}

// Models returns all models sorted by name.
func (m *Manifest) Models() []Model { return all[Model](m) }

// Services returns all services sorted by name.
func (m *Manifest) Services() []Service { return all[Service](m) }

// Upstreams returns all upstreams sorted by id.
func (m *Manifest) Upstreams() []Upstream { return all[Upstream](m) }

// StoreHosts returns all store hosts sorted by id.
func (m *Manifest) StoreHosts() []StoreHost { return all[StoreHost](m) }

// IsNonRepeatable reports whether a call of the service must run at most once.
func (s Service) IsNonRepeatable(method, path string) bool {
	return slices.ContainsFunc(s.NonRepeatable, func(p CallPattern) bool {
		return (p.Method == "" || p.Method == method) && strings.HasPrefix(path, p.PathPrefix)
	})
}

func lookup[T Object](m *Manifest, kind ObjectKind, name string) (T, bool) {
	var none T
	if m == nil {
		return none, false
	}
	object, ok := m.Entries[ObjectKey{kind, name}].Object.(T)
	return object, ok
}

func all[T Object](m *Manifest) []T {
	if m == nil {
		return nil
	}
	var found []T
	for _, entry := range m.Entries {
		if object, ok := entry.Object.(T); ok {
			found = append(found, object)
		}
	}
	slices.SortFunc(found, func(a, b T) int { return strings.Compare(a.Key().Name, b.Key().Name) })
	return found
}
