package host

import (
	"context"
	"errors"
	"hash/fnv"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/member"
	"magnoliaspoke.example/spoke/wire"
)

const (
	// DefaultHeartbeatInterval is the period of heartbeat rounds.
	DefaultHeartbeatInterval = 500 * time.Millisecond

	memberInbox = 256
)

type (
	// memberTask owns the membership table and sends its heartbeats.
	memberTask struct {
		table    *member.Table
		self     spoke.HostID
		client   *wire.Client
		timer    spoke.Timer
		interval time.Duration
		inbox    chan memberRequest
		view     atomic.Pointer[spoke.Membership]
		// seen is signalled after each change of the view.
		seen chan struct{}
		// marks takes the quarantine marks of other hosts; it is set before the task runs.
		marks func([]spoke.QuarantineMark)
		known map[spoke.HostID]markState
	}

	// markState tells whether a host's marks were taken already.
	markState struct {
		incarnation spoke.Incarnation
		count       int
		last        spoke.QuarantineMark
	}

	memberRequest struct {
		message member.Message
		// reply receives the answer to a received heartbeat.
		reply chan<- member.Heartbeat
		// sent is closed when all heartbeats that the message caused were answered or failed.
		sent chan<- struct{}
	}
)

func newMemberTask(self spoke.HostID, table *member.Table, client *wire.Client, timer spoke.Timer, interval time.Duration) *memberTask {
	task := &memberTask{
		table: table, self: self, client: client, timer: timer, interval: interval,
		inbox: make(chan memberRequest, memberInbox),
		seen:  make(chan struct{}, 1),
		marks: func([]spoke.QuarantineMark) {},
		known: make(map[spoke.HostID]markState),
	}
	task.publish()
	return task
}

// View returns the membership as of the last message.
func (t *memberTask) View() *spoke.Membership { return t.view.Load() }

// Heartbeat passes a heartbeat of another host to the task and returns the answer.
func (t *memberTask) Heartbeat(ctx context.Context, beat member.Heartbeat) (member.Heartbeat, error) {
	reply := make(chan member.Heartbeat, 1)
	if err := t.post(ctx, memberRequest{message: member.Received{Heartbeat: beat}, reply: reply}); err != nil {
		return member.Heartbeat{}, err
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		return member.Heartbeat{}, ctx.Err()
	}
}

// Announce sends a heartbeat to every host of the data centre and returns when
// all have answered or failed, or the context ends.
func (t *memberTask) Announce(ctx context.Context, message member.Message) error {
	sent := make(chan struct{})
	if err := t.post(ctx, memberRequest{message: message, sent: sent}); err != nil {
		return err
	}
	select {
	case <-sent:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (t *memberTask) post(ctx context.Context, request memberRequest) error {
	select {
	case t.inbox <- request:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (t *memberTask) run(ctx context.Context) error {
	ticks := t.timer.Every(t.interval)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C():
			t.handle(ctx, memberRequest{message: member.Tick{}})
		case request := <-t.inbox:
			t.handle(ctx, request)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (t *memberTask) handle(ctx context.Context, request memberRequest) {
	actions := t.table.Handle(t.timer.Now(), request.message)
	pending := 0
	answered := make(chan struct{}, len(actions))
	for _, action := range actions {
		switch a := action.(type) {
		case member.Reply:
			request.reply <- a.Heartbeat
		case member.Send:
			pending++
			go func() {
				t.exchange(ctx, a)
				if request.sent != nil {
					answered <- struct{}{}
				}
			}()
		}
	}
	if request.sent != nil {
		go closeAfter(ctx, request.sent, answered, pending)
	}
	t.publish()
}

func closeAfter(ctx context.Context, sent chan<- struct{}, answered <-chan struct{}, pending int) {
	defer close(sent)
	for range pending {
		select {
		case <-answered:
		case <-ctx.Done():
			return
		}
	}
}

func (t *memberTask) exchange(ctx context.Context, send member.Send) {
	answer, err := t.client.Heartbeat(ctx, send.Address, send.Heartbeat)
	switch {
	case err == nil:
		_ = t.post(ctx, memberRequest{message: member.Answered{Heartbeat: answer}})
	case errors.Is(err, spoke.ErrNotRun) && ctx.Err() == nil:
		_ = t.post(ctx, memberRequest{message: member.ConnectionRefused{Host: send.Host}})
	}
}

// publish replaces the view.
func (t *memberTask) publish() {
	peers := t.table.View(t.timer.Now())
	t.passMarks(peers)
	t.view.Store(&spoke.Membership{Self: t.self, Peers: peers, Epoch: ownersEpoch(peers)})
	select {
	case t.seen <- struct{}{}:
	default:
	}
}

// passMarks hands on the marks of each host once.
func (t *memberTask) passMarks(peers map[spoke.HostID]spoke.Peer) {
	for id, peer := range peers {
		marks := peer.Digest.Marks
		if id == t.self || len(marks) == 0 {
			continue
		}
		state := markState{peer.Incarnation, len(marks), marks[len(marks)-1]}
		if t.known[id] != state {
			t.known[id] = state
			t.marks(marks)
		}
	}
}

// ownersEpoch is a hash of the hosts that may own upstreams, so that equal
// sets have equal epochs on all hosts.
func ownersEpoch(peers map[spoke.HostID]spoke.Peer) uint64 {
	hash := fnv.New64a()
	for _, id := range slices.Sorted(maps.Keys(peers)) {
		if peers[id].CanOwn() {
			_, _ = hash.Write([]byte(id))
			_, _ = hash.Write([]byte{0})
		}
	}
	return hash.Sum64()
}
