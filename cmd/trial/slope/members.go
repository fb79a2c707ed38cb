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
	// heartbeatRound is the production period of heartbeats.
	heartbeatRound = 500 * time.Millisecond
	// warmRounds let all hosts hear of each other before the measurement.
	warmRounds = 12
	// loadRounds is how often an upstream's summary changes, in rounds.
	loadRounds = 2
	upstreamsA = 1.43
)

type (
	// MembershipCost is what heartbeats cost one host.
	MembershipCost struct {
		Hosts       int
		DataCentres int
		// Processor is processor time per second.
		Processor time.Duration
		// Bytes is traffic in both directions per second, headers included.
		Bytes spoke.ByteRate
		Heap  spoke.ByteSize
	}

	// node is one host of the measurement with its own internal listener.
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

// MeasureMembership runs hosts with real internal listeners on loopback for a
// number of heartbeat rounds, as fast as the machine allows.
func MeasureMembership(dataCentres, hostsEach, rounds int) (MembershipCost, error) {
	before := HeapSize()
	traffic := new(atomic.Int64)
	nodes, err := startNodes(dataCentres, hostsEach, traffic)
	defer stopNodes(nodes)
	if err != nil {
		return MembershipCost{}, err
	}
	for round := range warmRounds {
		runRound(nodes, round)
	}
	traffic.Store(0)
	started := ProcessorTime()
	for round := range rounds {
		runRound(nodes, warmRounds+round)
	}
	used := ProcessorTime() - started
	hosts := len(nodes)
	span := time.Duration(rounds) * heartbeatRound
	return MembershipCost{
		Hosts: hosts, DataCentres: dataCentres,
		Processor: time.Duration(float64(used) / float64(hosts) / span.Seconds()),
		// Each byte is counted at the server side only; both ends carry it.
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

// runRound lets every host send the heartbeats of one round and waits for all of them.
func runRound(nodes []*node, round int) {
	var sends sync.WaitGroup
	for i, n := range nodes {
		n.now.Add(int64(heartbeatRound) / int64(len(nodes)))
		if (round+i)%loadRounds == 0 {
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

// Heartbeat answers a heartbeat.
func (p *nodePeer) Heartbeat(_ context.Context, beat member.Heartbeat) (member.Heartbeat, error) {
	actions := p.node.handle(member.Received{Heartbeat: beat})
	return actions[0].(member.Reply).Heartbeat, nil
}

// Update returns no configuration.
func (p *nodePeer) Update(context.Context, spoke.TicketNumber) ([]byte, error) { return nil, nil }

// TakeUpdate ignores updates.
func (p *nodePeer) TakeUpdate(context.Context, spoke.HostID, []byte) error { return nil }

// Run refuses all runs.
func (p *nodePeer) Run(context.Context, spoke.Dispatch) (spoke.RunStream, error) {
	return nil, spoke.ErrNotRun
}

// sampleDigest has the summary of one or two upstreams, 1.43 on average.
func sampleDigest(host, round int) spoke.Digest {
	digest := spoke.Digest{Number: spoke.TicketNumber(1), Loads: make(map[spoke.UpstreamID]spoke.LoadSummary)}
	owned := int(float64(host+1)*upstreamsA) - int(float64(host)*upstreamsA)
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
