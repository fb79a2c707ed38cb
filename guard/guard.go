package guard

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
)

const (
	// Callers is the group of the listener for callers.
	Callers Group = iota
	// Peers is the group of the listener for other hosts.
	Peers
	// Readiness is the group of the listener for readiness probes.
	Readiness
	// Metrics is the group of the listener for the metrics page.
	Metrics
	groupCount
)

const (
	// SweepInterval is the interval at which connections are checked.
	SweepInterval = 250 * time.Millisecond

	// maxPause is the time between two sweeps above which the process was suspended or had no processor time. Bytes that came
	// meanwhile are read before any connection counts as late.
	maxPause = time.Second

	// The Go runtime keeps the process below a soft limit of 0.7 of the memory (cmd/edge). Live memory up to half of it
	// leaves room for garbage and for all else: 0.3 for what callers send, of which large requests may use 0.25, and 0.2
	// for connections.
	largeShare, totalShare, connectionShare = 0.25, 0.3, 0.2
	// connectionBytes is the memory of a connection without a request: its buffers and the stack of its goroutine.
	connectionBytes = 16 << 10
	// callBytes is the memory of a call beside its head and body.
	callBytes spoke.ByteSize = 16 << 10
	// descriptorShare leaves descriptors to connections to upstreams, which calls need, and to other hosts.
	descriptorShare = 0.6
	// peerShare and pageShare are the parts of the connections that the listener for other hosts and each of those for
	// readiness and metrics may use.
	peerShare, pageShare = 0.5, 0.125

	// retryAfter is the hint of refusals for want of room, in seconds. Stalled connections may be closed after 0.25 s.
	retryAfter = "0.3"

	// minHeader, minHeaderTimeout and minIdleTimeout are the least limits in force, whatever the routing table says.
	minHeader        spoke.ByteSize = 4 << 10
	minHeaderTimeout                = time.Second
	minIdleTimeout                  = 5 * time.Second
	// headerMargin and idleMargin are added to the times of the routing table, for links and for hosts that are busy.
	headerMargin = time.Second
	idleMargin   = 3 * time.Second

	// maxHeader bounds heads without a limit of the routing table. It was the limit for callers before there was one.
	maxHeader spoke.ByteSize = 64 << 10
	// otherHeaderTimeout is that of listeners that are not for callers. Idle connections between hosts may stay.
	otherHeaderTimeout = 15 * time.Second
)

type (
	// Machine is what the machine gives to a process.
	Machine struct {
		Memory      spoke.ByteSize
		Descriptors int
	}

	// Guard bounds what callers make a process hold. It is safe for concurrent use.
	Guard struct {
		limits func() spoke.CallerLimits
		body   func(code string) []byte
		log    logrus.FieldLogger

		mu sync.Mutex
		// lastSweep is the time of the last sweep, notBefore that from which connections may count as late.
		lastSweep, notBefore time.Time
		ledger               *Ledger
		conns                map[ID]*conn
		last                 ID
		// counts holds the number of refused and closed connections by reason, logged those that the log has.
		counts, logged map[string]int64
	}

	// Option changes a guard.
	Option func(*Guard)

	// Page is the state of a guard for the metrics page.
	Page struct {
		Connections int
		Held        spoke.ByteSize
		// Ended counts the connections that were refused or closed, by reason.
		Ended map[string]int64
	}

	// reason says why a connection was refused or closed.
	reason struct {
		name   string
		status int
	}
)

var (
	tooLarge       = reason{"head-too-large", http.StatusRequestHeaderFieldsTooLarge}
	noMemory       = reason{"caller-memory", http.StatusServiceUnavailable}
	noConnections  = reason{"caller-connections", http.StatusServiceUnavailable}
	headTimeout    = reason{"head-timeout", http.StatusRequestTimeout}
	idleTimeout    = reason{"idle", 0}
	bodyUnexpected = reason{"body-unexpected", http.StatusRequestEntityTooLarge}
)

// WithLimits sets the source of the limits for callers; zero values are no limits.
func WithLimits(limits func() spoke.CallerLimits) Option { return func(g *Guard) { g.limits = limits } }

// WithBody sets the JSON body of refusals.
func WithBody(body func(code string) []byte) Option { return func(g *Guard) { g.body = body } }

// New returns a guard for a machine.
func New(machine Machine, log logrus.FieldLogger, options ...Option) *Guard {
	g := &Guard{
		limits: func() spoke.CallerLimits { return spoke.CallerLimits{} }, body: func(string) []byte { return nil }, log: log,
		ledger: NewLedger(BoundsOf(machine)), conns: make(map[ID]*conn), counts: make(map[string]int64), logged: make(map[string]int64),
	}
	for _, option := range options {
		option(g)
	}
	return g
}

// BoundsOf returns the bounds that keep a process within a machine.
func BoundsOf(machine Machine) Bounds {
	share := func(of float64) spoke.ByteSize { return spoke.ByteSize(of * float64(machine.Memory)) }
	connections := min(int(descriptorShare*float64(machine.Descriptors)), int(share(connectionShare)/connectionBytes))
	part := func(of float64) int { return max(1, int(of*float64(connections))) }
	groups := make([]int, groupCount)
	groups[Callers], groups[Peers], groups[Readiness], groups[Metrics] = connections, part(peerShare), part(pageShare), part(pageShare)
	return Bounds{Total: share(totalShare), Large: share(largeShare), Connections: connections, Groups: groups}
}

// Sweep closes connections whose request has not come in time and logs what was refused and closed.
func (g *Guard) Sweep() {
	now := time.Now()
	limits := g.limits()
	callers := Times{Head: bounded(limits.HeaderTimeout, minHeaderTimeout, headerMargin), Idle: bounded(limits.IdleTimeout, minIdleTimeout, idleMargin)}
	g.mu.Lock()
	if !g.lastSweep.IsZero() && now.Sub(g.lastSweep) > maxPause {
		g.notBefore = now.Add(maxPause)
	}
	g.lastSweep = now
	var heads, idle []Chosen
	if !now.Before(g.notBefore) {
		heads, idle = g.ledger.Sweep(now, Callers, callers)
		for group := Peers; group < groupCount; group++ {
			late, _ := g.ledger.Sweep(now, group, Times{Head: otherHeaderTimeout})
			heads = append(heads, late...)
		}
	}
	closeIdle, closeHeads := g.end(idle, idleTimeout), g.end(heads, headTimeout)
	fields := g.changes()
	g.mu.Unlock()
	closeIdle()
	closeHeads()
	if len(fields) > 0 {
		g.log.WithFields(fields).Warn("callers refused or closed")
	}
}

// bounded returns a limit with its margin, zero without a limit.
func bounded(limit, least, margin time.Duration) time.Duration {
	if limit == 0 {
		return 0
	}
	return max(limit, least) + margin
}

// changes returns the counts that have grown since the last call, with the state if there are any.
func (g *Guard) changes() logrus.Fields {
	fields := logrus.Fields{}
	for name, count := range g.counts {
		if more := count - g.logged[name]; more > 0 && name != idleTimeout.name {
			fields[name] = more
		}
		g.logged[name] = count
	}
	if len(fields) > 0 {
		connections, held := g.ledger.Total()
		fields["connections"], fields["held"] = connections, held
	}
	return fields
}

// Page returns the state for the metrics page.
func (g *Guard) Page() Page {
	g.mu.Lock()
	defer g.mu.Unlock()
	connections, held := g.ledger.Total()
	return Page{Connections: connections, Held: held, Ended: maps.Clone(g.counts)}
}

// end counts connections that the ledger has chosen and returns a function that closes them, without the lock.
func (g *Guard) end(chosen []Chosen, why reason) func() {
	var ends []func()
	for _, next := range chosen {
		c := g.conns[next.ID]
		if next.Phase != Lingering {
			g.counts[why.name]++
		}
		c.isClosed.Store(true)
		switch next.Phase {
		case Body:
			// The handler refuses the call.
			ends = append(ends, func() { _ = c.SetReadDeadline(time.Now()) })
		case Head:
			answer := g.answer(why)
			ends = append(ends, func() {
				c.refuse(answer)
				_ = c.Conn.Close()
			})
		default:
			ends = append(ends, func() { _ = c.Conn.Close() })
		}
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// answer returns a whole answer for a request that was not run.
func (g *Guard) answer(why reason) []byte {
	body := g.body(why.name)
	hint := ""
	if why.status == http.StatusServiceUnavailable {
		hint = "Retry-After: " + retryAfter + "\r\n"
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n%sConnection: close\r\n\r\n%s",
		why.status, http.StatusText(why.status), len(body), hint, body)
}

// admit adds an accepted connection; it returns nil if there is no room for it, and has closed it then.
func (g *Guard) admit(accepted net.Conn, group Group) net.Conn {
	g.mu.Lock()
	g.last++
	c := &conn{Conn: accepted, guard: g, id: g.last, group: group}
	c.inHead.Store(true)
	chosen, isAdmitted := g.ledger.Open(time.Now(), c.id, group)
	closeChosen := g.end(chosen, noConnections)
	if isAdmitted {
		g.conns[c.id] = c
	} else {
		g.counts[noConnections.name]++
	}
	g.mu.Unlock()
	closeChosen()
	if isAdmitted {
		return c
	}
	c.refuse(g.answer(noConnections))
	_ = accepted.Close()
	return nil
}

// takeHead counts bytes of a head and reports whether the connection may go on; it refuses the request otherwise.
func (g *Guard) takeHead(c *conn, text []byte) bool {
	if c.head.isWhole {
		return true
	}
	before := c.head.cost()
	isFirst := c.head.size == 0
	if isFirst {
		before = 0
	}
	c.head.scan(text)
	why := noMemory
	g.mu.Lock()
	isTaken := !isFirst || g.ledger.Enter(time.Now(), c.id, Head)
	if isTaken && spoke.ByteSize(c.head.size) > g.headerLimit(c.group) {
		isTaken, why = false, tooLarge
	}
	closeChosen := func() {}
	if isTaken {
		var chosen []Chosen
		chosen, isTaken = g.ledger.Reserve(time.Now(), c.id, c.head.cost()-before)
		closeChosen = g.end(chosen, noMemory)
	}
	isRefused := !isTaken && g.ledger.Refuse(time.Now(), c.id)
	if isRefused {
		g.counts[why.name]++
	}
	g.mu.Unlock()
	closeChosen()
	if isRefused {
		c.refuse(g.answer(why))
		c.isClosed.Store(true)
		c.lingers.Store(true)
	}
	return isTaken
}

func (g *Guard) headerLimit(group Group) spoke.ByteSize {
	if limit := g.limits().Header; group == Callers && limit > 0 {
		return min(max(limit, minHeader), maxHeader)
	}
	return maxHeader
}

func (g *Guard) progress(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Progress(time.Now(), c.id)
}

// enter sets the phase of a connection and reports whether it may go on.
func (g *Guard) enter(c *conn, phase Phase) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Enter(time.Now(), c.id, phase)
}

// reserve adds to what a connection holds and reports whether there is room for it.
func (g *Guard) reserve(c *conn, size spoke.ByteSize) bool {
	g.mu.Lock()
	chosen, isReserved := g.ledger.Reserve(time.Now(), c.id, size)
	closeChosen := g.end(chosen, noMemory)
	g.mu.Unlock()
	closeChosen()
	return isReserved
}

// release returns all that a connection holds.
func (g *Guard) release(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Release(c.id, g.ledger.Held(c.id))
}

// forget removes a connection that is closed or taken over.
func (g *Guard) forget(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Close(c.id)
	delete(g.conns, c.id)
}
