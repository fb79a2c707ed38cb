package ticket

import (
	"math"
	"net/netip"
	"regexp"
	"slices"
	"strings"

	"magnoliaspoke.example/spoke"
)

// shareTolerance allows for rounding errors in a sum of floors such as 0.1 + 0.2 + 0.7.
const shareTolerance = 1e-9

var (
	// namePattern restricts names to characters that are safe in paths, keys and logs.
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)
	// modelPattern also allows slashes, for names such as owner/model.
	modelPattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$`)
	hashPattern   = regexp.MustCompile(`^[0-9a-f]{64}$`)
	methodPattern = regexp.MustCompile(`^[A-Z]*$`)
)

func (v *validator) services() {
	for _, service := range v.next.Services() {
		v.name(service, "name", string(service.Name))
		if service.Kind != spoke.ServiceLanguage && service.Kind != spoke.ServicePlain {
			v.addf(service, "kind", "%q is neither %q nor %q", service.Kind, spoke.ServiceLanguage, spoke.ServicePlain)
		}
		if _, ok := v.next.Rank(service.DefaultRank); !ok {
			v.addf(service, "default-rank", "unknown rank %q", service.DefaultRank)
		}
		v.patterns(service)
	}
}

func (v *validator) patterns(service spoke.Service) {
	if service.Kind == spoke.ServiceLanguage && len(service.NonRepeatable) > 0 {
		v.addf(service, "non-repeatable", "only plain services have calls that may not be repeated")
	}
	for _, pattern := range service.NonRepeatable {
		if !methodPattern.MatchString(pattern.Method) {
			v.addf(service, "non-repeatable", "method %q is not in upper case", pattern.Method)
		}
		if pattern.PathPrefix != "" && !strings.HasPrefix(pattern.PathPrefix, "/") {
			v.addf(service, "non-repeatable", "path prefix %q has no leading slash", pattern.PathPrefix)
		}
	}
}

func (v *validator) workspaces() {
	owners := make(map[spoke.KeyHash]spoke.WorkspaceID)
	for _, workspace := range ticketLast(v, v.next.Workspaces()) {
		v.name(workspace, "id", string(workspace.ID))
		if !isPositive(workspace.Weight) {
			v.addf(workspace, "weight", "%v is not above zero", workspace.Weight)
		}
		if workspace.MaxConcurrent < 0 {
			v.addf(workspace, "max-concurrent", "%d is below zero", workspace.MaxConcurrent)
		}
		for _, name := range workspace.Services {
			v.service(workspace, "services", name, "")
		}
		distinct(v, workspace, "services", workspace.Services)
		v.keyHashes(workspace, owners)
	}
}

// keyHashes checks the key hashes of a workspace and that no other workspace has the same key.
func (v *validator) keyHashes(workspace spoke.Workspace, owners map[spoke.KeyHash]spoke.WorkspaceID) {
	for _, hash := range workspace.KeyHashes {
		if !hashPattern.MatchString(string(hash)) {
			v.addf(workspace, "key-hashes", "%q is no SHA-256 in lower-case hexadecimal", hash)
		}
		if owner, ok := owners[hash]; ok {
			v.addf(workspace, "key-hashes", "%q also belongs to workspace %q", hash, owner)
		}
		owners[hash] = workspace.ID
	}
}

func (v *validator) ranks() {
	var floorSum spoke.Share
	orders := make(map[int]spoke.RankName)
	for _, rank := range ticketLast(v, v.next.Ranks()) {
		v.name(rank, "name", string(rank.Name))
		if rank.FirstTokenTarget <= 0 {
			v.addf(rank, "first-token-target-ms", "%v is not above zero", rank.FirstTokenTarget)
		}
		if !(rank.Floor >= 0 && rank.Floor <= 1) {
			v.addf(rank, "floor", "%v is not between 0 and 1", rank.Floor)
		}
		if !(rank.Worth >= 0) || math.IsInf(rank.Worth, 0) {
			v.addf(rank, "worth", "%v is below zero", rank.Worth)
		}
		if other, ok := orders[rank.Order]; ok {
			v.addf(rank, "order", "%d is also the order of rank %q", rank.Order, other)
		}
		orders[rank.Order] = rank.Name
		floorSum += rank.Floor
		if floorSum > 1+shareTolerance {
			v.addf(rank, "floor", "the floors of all ranks add up to more than 1 (%.3f with this rank)", floorSum)
		}
	}
}

func (v *validator) models() {
	for _, model := range v.next.Models() {
		if !modelPattern.MatchString(string(model.Name)) {
			v.addf(model, "name", "%q is no valid name", model.Name)
		}
		v.service(model, "service", model.Service, spoke.ServiceLanguage)
		if model.Version == "" {
			v.addf(model, "version", "is empty")
		}
		if slices.Contains(model.Adapters, "") {
			v.addf(model, "adapters", "an adapter has no name")
		}
		distinct(v, model, "adapters", model.Adapters)
	}
}

func (v *validator) upstreams() {
	for _, upstream := range ticketLast(v, v.next.Upstreams()) {
		v.name(upstream, "id", string(upstream.ID))
		v.name(upstream, "data-centre", string(upstream.DataCentre))
		v.service(upstream, "service", upstream.Service, "")
		if upstream.State != spoke.UpstreamServing && upstream.State != spoke.UpstreamLeaving {
			v.addf(upstream, "state", "%q is neither %q nor %q",
				upstream.State, spoke.UpstreamServing, spoke.UpstreamLeaving)
		}
	}
}

func (v *validator) storeHosts() {
	for _, host := range ticketLast(v, v.next.StoreHosts()) {
		v.name(host, "id", string(host.ID))
		v.name(host, "data-centre", string(host.DataCentre))
		v.service(host, "service", host.Service, "")
		if host.Memory < 0 {
			v.addf(host, "memory-bytes", "%d is below zero", host.Memory)
		}
		if host.Disk < 0 {
			v.addf(host, "disk-bytes", "%d is below zero", host.Disk)
		}
		if !isPositive(float64(host.LinkRate)) {
			v.addf(host, "link-bytes-per-second", "%v is not above zero", host.LinkRate)
		}
	}
}

func (v *validator) addresses() {
	usedBy := make(map[spoke.Address]spoke.ObjectKey)
	for _, upstream := range ticketLast(v, v.next.Upstreams()) {
		v.address(upstream, upstream.Address, usedBy)
	}
	for _, host := range ticketLast(v, v.next.StoreHosts()) {
		v.address(host, host.Address, usedBy)
	}
}

func (v *validator) address(object spoke.Object, address spoke.Address, usedBy map[spoke.Address]spoke.ObjectKey) {
	parsed, err := netip.ParseAddrPort(string(address))
	if err != nil || parsed.Port() == 0 {
		v.addf(object, "address", "%q is no IP number and port", address)
		return
	}
	canonical := spoke.Address(parsed.String())
	if user, ok := usedBy[canonical]; ok {
		v.addf(object, "address", "%q is also the address of %s", address, user)
	}
	usedBy[canonical] = object.Key()
}

// service checks that a referenced service exists and, unless kind is empty, that it is of that kind.
func (v *validator) service(object spoke.Object, field string, name spoke.ServiceName, kind spoke.ServiceKind) {
	service, ok := v.next.Service(name)
	switch {
	case !ok:
		v.addf(object, field, "unknown service %q", name)
	case kind != "" && service.Kind != kind:
		v.addf(object, field, "service %q is of kind %q, not %q", name, service.Kind, kind)
	}
}

func (v *validator) name(object spoke.Object, field, name string) {
	if !namePattern.MatchString(name) {
		v.addf(object, field, "%q is no valid name", name)
	}
}

// ticketLast sorts the ticket's own objects last, so that a conflict with an object of the
// manifest is reported at the object of the ticket.
func ticketLast[T spoke.Object](v *validator, objects []T) []T {
	slices.SortStableFunc(objects, func(a, b T) int {
		return v.position(a) - v.position(b)
	})
	return objects
}

func (v *validator) position(object spoke.Object) int {
	if _, ok := v.places[object.Key()]; ok {
		return 1
	}
	return 0
}

func distinct[T ~string](v *validator, object spoke.Object, field string, items []T) {
	seen := make(map[T]bool)
	for _, item := range items {
		if seen[item] {
			v.addf(object, field, "%q is listed twice", item)
		}
		seen[item] = true
	}
}

func isPositive(x float64) bool { return x > 0 && !math.IsInf(x, 0) }
