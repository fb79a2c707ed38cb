package crowd

import (
	"net"
	"sync"
	"time"

	"magnoliaspoke.example/spoke"
)

// sendTime bounds the time in which a caller connects and sends; a process may leave bytes unread.
const sendTime = 5 * time.Second

// Crowd is a number of callers that keep their connections open.
type Crowd struct {
	mu   sync.Mutex
	open []net.Conn
}

// Open lets a number of callers of one kind connect to an address at once and returns when each has sent what it sends.
// Refusals and closed connections are no errors.
func Open(address spoke.Address, kind Kind, count int) *Crowd {
	c := &Crowd{}
	var callers sync.WaitGroup
	for number := range count {
		callers.Go(func() { c.join(address, kind, number) })
	}
	callers.Wait()
	return c
}

func (c *Crowd) join(address spoke.Address, kind Kind, number int) {
	conn, err := net.DialTimeout("tcp", string(address), sendTime)
	if err != nil {
		return
	}
	c.mu.Lock()
	c.open = append(c.open, conn)
	c.mu.Unlock()
	if conn.SetDeadline(time.Now().Add(sendTime)) == nil {
		_ = kind.send(conn, number) // The process may refuse the caller or close its connection.
	}
}

// Close ends the connections.
func (c *Crowd) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.open {
		_ = conn.Close()
	}
}
