package platform

// Entry returns the engine's entry in the store.
func (e *Engine) Entry(service, zone, state string) map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.entries++
	return map[string]any{
		"service": service, "address": e.Address(), "zone": zone, "version": e.software, "slots": e.slots, "state": state,
		"cold-left-ms": e.coldLeft().Milliseconds(), "sequence": e.entries, "born": firstStartMs + e.restarts,
		"models": []map[string]any{{"name": ModelName, "version": e.version, "adapters": []string{}}},
	}
}
