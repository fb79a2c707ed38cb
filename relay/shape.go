package relay

import "time"

// earliestDelivery returns when a chunk that is read now may be delivered; the zero time means
// at once.
func (r *Relay) earliestDelivery(direction Direction) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	delay := r.shapers[direction].delay
	if delay == 0 {
		return time.Time{}
	}
	return r.timer.Now().Add(delay)
}

// waitForDelivery waits until the chunk may be delivered; it returns false if the connection
// became silent or was closed.
func (r *Relay) waitForDelivery(conn *connection, direction Direction, next chunk) bool {
	if !r.waitUntil(conn, next.due) || !r.waitWhileCut(conn) {
		return false
	}
	return r.waitUntil(conn, r.reserve(direction, len(next.bytes)))
}

// reserve takes bandwidth for size bytes and returns when their transmission ends.
func (r *Relay) reserve(direction Direction, size int) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	shaper := &r.shapers[direction]
	if shaper.rate <= 0 || size == 0 {
		return time.Time{}
	}
	if now := r.timer.Now(); shaper.busyUntil.Before(now) {
		shaper.busyUntil = now
	}
	shaper.busyUntil = shaper.busyUntil.Add(time.Duration(float64(size) / float64(shaper.rate) * float64(time.Second)))
	return shaper.busyUntil
}

// waitWhileCut waits while the relay is cut; it returns false if the connection became silent
// or was closed, or the relay closes.
func (r *Relay) waitWhileCut(conn *connection) bool {
	for {
		r.mu.Lock()
		cut, changed, delivering := r.cut, r.changed, conn.isDelivering()
		r.mu.Unlock()
		if !delivering || !cut {
			return delivering
		}
		select {
		case <-changed:
		case <-r.ctx.Done():
			return false
		}
	}
}

// waitUntil waits until a time on the relay's timer; the zero time counts as past. It returns
// false if the connection became silent or was closed, or the relay closes.
func (r *Relay) waitUntil(conn *connection, until time.Time) bool {
	if until.IsZero() {
		return true
	}
	for {
		wait := until.Sub(r.timer.Now())
		if wait <= 0 {
			return true
		}
		r.mu.Lock()
		changed, delivering := r.changed, conn.isDelivering()
		r.mu.Unlock()
		if !delivering {
			return false
		}
		if !r.waitForChange(wait, changed) {
			return false
		}
	}
}

// waitForChange waits until a condition changes, at most for the given time; it returns false
// when the relay closes.
func (r *Relay) waitForChange(wait time.Duration, changed <-chan struct{}) bool {
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

// isDelivering reports whether the connection still delivers data; the relay's mutex must be
// held.
func (c *connection) isDelivering() bool { return !c.silent && !c.closed }
