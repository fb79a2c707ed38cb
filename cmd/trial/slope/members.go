package slope

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/events"
	"magnoliaspoke.example/spoke/member"
	"magnoliaspoke.example/spoke/timer"
	"magnoliaspoke.example/spoke/wire"
)

const (
	peerSecret = "secret of the measurement"
	// heartbeatPeriod is the heartbeat interval in production.
	heartbeatPeriod = 500 * time.Millisecond
	// warmUpRounds is enough for all hosts to discover each other before the measurement.
	warmUpRounds = 12
	// loadChangeRounds is the number of rounds between changes of an upstream's load summary.
	loadChangeRounds = 2
	// upstreamsPerHost is the mean number of upstreams that a host owns, 600 upstreams on 420 hosts.
	upstreamsPerHost = 1.43
)

type (
	// MembershipCost is the cost of heartbeats for one host.
	MembershipCost struct {
		Hosts       int
		DataCentres int
		// Processor is the processor time used per second.
		Processor time.Duration
		// Bytes is the traffic in both directions in bytes per second, including HTTP headers.
		Bytes spoke.ByteRate
		// Heap is the growth of the live heap in bytes.
		Heap spoke.ByteSize
	}

	// node is a simulated host with its own internal listener.
	node struct {
		mu     sync.Mutex
		table  *member.Table
		client *wire.Client
		server *http.Server
		peer   *nodePeer
		now    *atomic.Int64
	}

	nodePeer struct{ node *node }

	countingListener struct {
		net.Listener
		bytes *atomic.Int64
	}

	countingConn struct {
		net.Conn
		bytes *atomic.Int64
	}
)

// MeasureMembership measures the cost of heartbeats among hosts with real internal listeners
// on loopback. The clock is simulated, so that the rounds run as fast as the machine allows.
func MeasureMembership(dataCentres, hostsEach, rounds int) (MembershipCost, error) {
	before := HeapSize()
	traffic := new(atomic.Int64)
	nodes, err := startNodes(dataCentres, hostsEach, traffic)
	defer stopNodes(nodes)
	if err != nil {
		return MembershipCost{}, err
	}
	for round := range warmUpRounds {
		runRound(nodes, round)
	}
	traffic.Store(0)
	started := ProcessorTime()
	for round := range rounds {
		runRound(nodes, warmUpRounds+round)
	}
	used := ProcessorTime() - started
	hosts := len(nodes)
	span := time.Duration(rounds) * heartbeatPeriod
	return MembershipCost{
		Hosts: hosts, DataCentres: dataCentres,
		Processor: time.Duration(float64(used) / float64(hosts) / span.Seconds()),
		// Bytes are counted on the server side only and doubled, since each is sent by one host and received by another.
		Bytes: spoke.ByteRate(2 * float64(traffic.Load()) / float64(hosts) / span.Seconds()),
		Heap:  (HeapSize() - before) / spoke.ByteSize(hosts),
	}, nil
}

func startNodes(dataCentres, hostsEach int, traffic *atomic.Int64) ([]*node, error) {
	var nodes []*node
	var records []member.Record
	now := new(atomic.Int64)
	now.Store(time.Now().UnixNano())
	for dc := range dataCentres {
		for i := range hostsEach {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return nodes, err
			}
			record := member.Record{
				ID:         spoke.HostID(fmt.Sprintf("dc%d-h%02d", dc, i)),
				DataCentre: spoke.DataCentreID(fmt.Sprintf("dc%d", dc)),
				Address:    spoke.Address(listener.Addr().String()),
			}
			records = append(records, record)
			nodes = append(nodes, newNode(record, records, now, countingListener{listener, traffic}))
		}
	}
	return nodes, nil
}

func newNode(self member.Record, records []member.Record, now *atomic.Int64, listener net.Listener) *node {
	clock := timer.NewSystem()
	recorder := events.NewRecorder(self.ID, clock, 1)
	signer := wire.NewSigner(peerSecret)
	contacts := []member.Record{records[0], records[len(records)/2]}
	n := &node{
		table:  member.New(self, 1, contacts, uint64(len(records))),
		client: wire.NewClient(signer, clock, recorder),
		now:    now,
	}
	n.peer = &nodePeer{n}
	n.server = &http.Server{Handler: wire.NewServer(n.peer, signer, clock, recorder), ReadHeaderTimeout: time.Second}
	go func() { _ = n.server.Serve(listener) }()
	return n
}

func stopNodes(nodes []*node) {
	for _, n := range nodes {
		_ = n.server.Close()
	}
}

// runRound sends the heartbeats of all hosts for one round and waits for the replies.
func runRound(nodes []*node, round int) {
	var sends sync.WaitGroup
	for i, n := range nodes {
		n.now.Add(int64(heartbeatPeriod) / int64(len(nodes)))
		if (round+i)%loadChangeRounds == 0 {
			n.handle(member.SetDigest{Digest: sampleDigest(i, round)})
		}
		for _, action := range n.handle(member.Tick{}) {
			if send, ok := action.(member.Send); ok {
				sends.Go(func() { n.exchange(send) })
			}
		}
	}
	sends.Wait()
}

func (n *node) handle(message member.Message) []member.Action {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Handle(time.Unix(0, n.now.Load()), message)
}

func (n *node) exchange(send member.Send) {
	answer, err := n.client.Heartbeat(context.Background(), send.Address, send.Heartbeat)
	if err == nil {
		n.handle(member.Answered{Heartbeat: answer})
	}
}

// Heartbeat handles a heartbeat from another host and returns the reply.
func (p *nodePeer) Heartbeat(_ context.Context, heartbeat member.Heartbeat) (member.Heartbeat, error) {
	actions := p.node.handle(member.Received{Heartbeat: heartbeat})
	return actions[0].(member.Reply).Heartbeat, nil
}

// Update returns no configuration, which the measurement does not distribute.
func (p *nodePeer) Update(context.Context, spoke.TicketNumber) ([]byte, error) { return nil, nil }

// TakeUpdate ignores updates.
func (p *nodePeer) TakeUpdate(context.Context, spoke.HostID, []byte) error { return nil }

// Run refuses all runs.
func (p *nodePeer) Run(context.Context, spoke.Dispatch) (spoke.RunStream, error) {
	return nil, spoke.ErrNotRun
}

// sampleDigest returns the load summaries of one or two upstreams, upstreamsPerHost on average.
func sampleDigest(host, round int) spoke.Digest {
	digest := spoke.Digest{Number: spoke.TicketNumber(1), Loads: make(map[spoke.UpstreamID]spoke.LoadSummary)}
	owned := int(float64(host+1)*upstreamsPerHost) - int(float64(host)*upstreamsPerHost)
	for i := range owned {
		digest.Loads[spoke.UpstreamID(fmt.Sprintf("engine-%03d-%d", host, i))] = spoke.LoadSummary{
			Queued: round % 7, Running: 12, Limit: 16, ExpectedWait: time.Duration(round) * time.Millisecond,
			Waits: map[spoke.RankName]time.Duration{
				"urgent": time.Duration(round) * time.Millisecond, "normal": time.Second, "batch": 2 * time.Second,
			},
			Versions: map[spoke.ModelName]spoke.ModelVersion{"model-07": "2026-11-30"}, AsOf: time.Unix(0, 0),
		}
	}
	return digest
}

// Accept counts the bytes of the accepted connection.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, l.bytes}, nil
}

// Read counts received bytes.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts sent bytes.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
