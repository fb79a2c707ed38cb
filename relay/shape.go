package relay

import "time"

// due returns when a chunk that is read now may leave.
func (r *Relay) due(direction Direction) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	delay := r.lanes[direction].delay
	if delay == 0 {
		return time.Time{}
	}
	return r.timer.Now().Add(delay)
}

// waitTurn waits until the chunk may be delivered; it returns false if the link became
// silent or was closed.
func (r *Relay) waitTurn(current *link, direction Direction, next chunk) bool {
	if !r.waitUntil(current, next.due) || !r.waitOpen(current) {
		return false
	}
	return r.waitUntil(current, r.reserve(direction, len(next.bytes)))
}

// reserve takes bandwidth and returns when the bytes have passed the link.
func (r *Relay) reserve(direction Direction, size int) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	lane := &r.lanes[direction]
	if lane.rate <= 0 || size == 0 {
		return time.Time{}
	}
	if now := r.timer.Now(); lane.free.Before(now) {
		lane.free = now
	}
	lane.free = lane.free.Add(time.Duration(float64(size) / float64(lane.rate) * float64(time.Second)))
	return lane.free
}

// waitOpen waits while the relay is cut.
func (r *Relay) waitOpen(current *link) bool {
	for {
		r.mu.Lock()
		cut, changed, passing := r.cut, r.changed, current.passing()
		r.mu.Unlock()
		if !passing || !cut {
			return passing
		}
		select {
		case <-changed:
		case <-r.ctx.Done():
			return false
		}
	}
}

// waitUntil waits for a time on the relay's timer; the zero time has passed.
func (r *Relay) waitUntil(current *link, until time.Time) bool {
	if until.IsZero() {
		return true
	}
	for {
		wait := until.Sub(r.timer.Now())
		if wait <= 0 {
			return true
		}
		r.mu.Lock()
		changed, passing := r.changed, current.passing()
		r.mu.Unlock()
		if !passing {
			return false
		}
		if !r.pause(wait, changed) {
			return false
		}
	}
}

// pause waits for a time or a change; it returns false when the relay ends.
func (r *Relay) pause(wait time.Duration, changed <-chan struct{}) bool {
	tick := r.timer.After(wait)
	defer tick.Stop()
	select {
	case <-tick.C():
	case <-changed:
	case <-r.ctx.Done():
		return false
	}
	return true
}

// passing reports whether the link still delivers; the relay's mutex must be held.
func (l *link) passing() bool { return !l.silent && !l.closed }
