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

	memberInboxSize = 256
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
		// changed is signalled after each update of the view.
		changed chan struct{}
		// onMarks receives the quarantine marks of other hosts; it is set before the task runs.
		onMarks     func([]spoke.QuarantineMark)
		mergedMarks map[spoke.HostID]marksVersion
	}

	// marksVersion identifies the marks of a host, so that unchanged ones are not merged again.
	marksVersion struct {
		incarnation spoke.Incarnation
		count       int
		last        spoke.QuarantineMark
	}

	memberRequest struct {
		message member.Message
		// reply receives the answer to a received heartbeat.
		reply chan<- member.Heartbeat
		// done is closed when all heartbeats that the message caused were answered or have failed.
		done chan<- struct{}
	}
)

func newMemberTask(self spoke.HostID, table *member.Table, client *wire.Client, timer spoke.Timer, interval time.Duration) *memberTask {
	task := &memberTask{
		table: table, self: self, client: client, timer: timer, interval: interval,
		inbox:       make(chan memberRequest, memberInboxSize),
		changed:     make(chan struct{}, 1),
		onMarks:     func([]spoke.QuarantineMark) {},
		mergedMarks: make(map[spoke.HostID]marksVersion),
	}
	task.publish()
	return task
}

// View returns the membership as of the last message.
func (t *memberTask) View() *spoke.Membership { return t.view.Load() }

// Heartbeat merges a heartbeat of another host and returns the reply.
func (t *memberTask) Heartbeat(ctx context.Context, heartbeat member.Heartbeat) (member.Heartbeat, error) {
	reply := make(chan member.Heartbeat, 1)
	if err := t.post(ctx, memberRequest{message: member.Received{Heartbeat: heartbeat}, reply: reply}); err != nil {
		return member.Heartbeat{}, err
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		return member.Heartbeat{}, ctx.Err()
	}
}

// Announce applies a message that sends heartbeats to other hosts, and returns when each of them
// has been answered or has failed. It fails if the context ends first.
func (t *memberTask) Announce(ctx context.Context, message member.Message) error {
	done := make(chan struct{})
	if err := t.post(ctx, memberRequest{message: message, done: done}); err != nil {
		return err
	}
	select {
	case <-done:
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
				t.sendHeartbeat(ctx, a)
				if request.done != nil {
					answered <- struct{}{}
				}
			}()
		}
	}
	if request.done != nil {
		go closeWhenAnswered(ctx, request.done, answered, pending)
	}
	t.publish()
}

func closeWhenAnswered(ctx context.Context, done chan<- struct{}, answered <-chan struct{}, pending int) {
	defer close(done)
	for range pending {
		select {
		case <-answered:
		case <-ctx.Done():
			return
		}
	}
}

func (t *memberTask) sendHeartbeat(ctx context.Context, send member.Send) {
	answer, err := t.client.Heartbeat(ctx, send.Address, send.Heartbeat)
	switch {
	case err == nil:
		_ = t.post(ctx, memberRequest{message: member.Answered{Heartbeat: answer}})
	case errors.Is(err, spoke.ErrNotRun) && ctx.Err() == nil:
		_ = t.post(ctx, memberRequest{message: member.ConnectionRefused{Host: send.Host}})
	}
}

// publish replaces the view and forwards new quarantine marks.
func (t *memberTask) publish() {
	peers := t.table.View(t.timer.Now())
	t.forwardMarks(peers)
	t.view.Store(&spoke.Membership{Self: t.self, Peers: peers, Epoch: ownersEpoch(peers)})
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// forwardMarks passes the marks of each other host to onMarks if they have changed.
func (t *memberTask) forwardMarks(peers map[spoke.HostID]spoke.Peer) {
	for id, peer := range peers {
		marks := peer.Digest.Marks
		if id == t.self || len(marks) == 0 {
			continue
		}
		version := marksVersion{peer.Incarnation, len(marks), marks[len(marks)-1]}
		if t.mergedMarks[id] != version {
			t.mergedMarks[id] = version
			t.onMarks(marks)
		}
	}
}

// ownersEpoch returns a hash of the hosts that may own upstreams; equal sets have equal epochs
// on all hosts.
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
