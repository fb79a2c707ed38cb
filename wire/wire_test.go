package wire_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/events"
	"magnoliaspoke.example/spoke/fake/frame"
	"magnoliaspoke.example/spoke/member"
	"magnoliaspoke.example/spoke/timer"
	"magnoliaspoke.example/spoke/wire"
)

const secret = "a secret of enough bytes"

// scriptedPeer responds to runs with prepared pieces and a final error and records what it receives.
type scriptedPeer struct {
	pieces    []spoke.Piece
	finalErr  error
	dispatch  spoke.Dispatch
	heartbeat member.Heartbeat
	update    string
}

func (s *scriptedPeer) Heartbeat(_ context.Context, heartbeat member.Heartbeat) (member.Heartbeat, error) {
	s.heartbeat = heartbeat
	return heartbeat, nil
}

func (s *scriptedPeer) Update(_ context.Context, after spoke.TicketNumber) ([]byte, error) {
	return fmt.Appendf(nil, "update after %d", after), nil
}

func (s *scriptedPeer) TakeUpdate(_ context.Context, from spoke.HostID, update []byte) error {
	s.update = string(from) + ": " + string(update)
	return nil
}

func (s *scriptedPeer) Run(_ context.Context, dispatch spoke.Dispatch) (spoke.RunStream, error) {
	s.dispatch = dispatch
	return &scriptedStream{pieces: s.pieces, finalErr: s.finalErr}, nil
}

type scriptedStream struct {
	pieces   []spoke.Piece
	finalErr error
}

func (s *scriptedStream) Next(context.Context) (spoke.Piece, error) {
	if len(s.pieces) == 0 {
		return spoke.Piece{}, s.finalErr
	}
	piece := s.pieces[0]
	s.pieces = s.pieces[1:]
	return piece, nil
}

func (s *scriptedStream) Close() error { return nil }

func startServer(t *testing.T, peer wire.Peer) (*wire.Client, spoke.Address) {
	t.Helper()
	clock := timer.NewSystem()
	signer := wire.NewSigner(secret)
	hybrid := events.NewRecorder("h1", clock, 16)
	server := httptest.NewServer(wire.NewServer(peer, signer, clock, hybrid))
	t.Cleanup(server.Close)
	return wire.NewClient(signer, clock, hybrid), addressOf(server)
}

func addressOf(server *httptest.Server) spoke.Address {
	return spoke.Address(strings.TrimPrefix(server.URL, "http://"))
}

func sampleDispatch() spoke.Dispatch {
	return spoke.Dispatch{
		Spec: spoke.RunSpec{
			Request: "r1", Attempt: "r1-1", Workspace: "w", Service: "quotes", Model: "m", Version: "v1",
			Prompt: strings.Repeat("catalogue ", 4000), MaxTokens: 16, ResumeFrom: 2, Delivered: "ab",
		},
		Upstream: "u1", Rank: "urgent", Cost: 12000, Solo: true, Preemptible: true,
		Deadline: time.UnixMilli(1_800_000_000_000), Keys: []spoke.BlockKey{{1}, {2}},
	}
}

// Guards against fields of dispatches and pieces that are lost between two hosts.
func TestRunRoundTrip(t *testing.T) {
	peer := &scriptedPeer{finalErr: io.EOF, pieces: []spoke.Piece{
		{Attempt: "r1-1", Version: "v1", Offset: 2, Tokens: 1, Text: "cd"},
		{Attempt: "r1-1"},
		{Attempt: "r1-1", Version: "v1", Offset: 3, Finish: spoke.FinishStop, Usage: spoke.Usage{Prompt: 9, Completion: 1, Cached: 4}},
	}}
	client, at := startServer(t, peer)
	stream, err := client.Run(context.Background(), at, sampleDispatch())
	assert.NilError(t, err)
	defer stream.Close()

	var got []spoke.Piece
	for {
		piece, err := stream.Next(context.Background())
		if errors.Is(err, io.EOF) {
			break
		}
		assert.NilError(t, err)
		got = append(got, piece)
	}
	assert.DeepEqual(t, got[1:], peer.pieces)
	assert.Equal(t, got[0], spoke.Piece{})
	assert.DeepEqual(t, peer.dispatch, sampleDispatch())
}

// Guards against errors that no longer match their sentinel errors after transfer, on which retry
// decisions depend.
func TestFailureRoundTrip(t *testing.T) {
	for _, targets := range [][]error{
		{spoke.ErrUpstreamDied},
		{spoke.ErrPreempted},
		{spoke.ErrIdleTimeout},
		{spoke.ErrIncomplete},
		{spoke.ErrNotRun},
		{spoke.ErrNotRun, spoke.ErrBusy},
		{spoke.ErrNotRun, spoke.ErrDraining},
		{spoke.ErrNotRun, spoke.ErrWrongVersion},
	} {
		client, at := startServer(t, &scriptedPeer{finalErr: errors.Join(targets...)})
		err := streamError(t, client, at)
		for _, target := range targets {
			assert.ErrorIs(t, err, target)
		}
		assert.Equal(t, errors.Is(err, spoke.ErrNotRun), errors.Is(errors.Join(targets...), spoke.ErrNotRun))
	}
}

// Guards against a refusal whose outcome or retry hint changes in transfer.
func TestRefusalRoundTrip(t *testing.T) {
	sent := &spoke.Refusal{
		Code: spoke.CodeOverloaded, Outcome: spoke.OutcomeNotRun, Message: "queue is full",
		RetryAfter: 1500 * time.Millisecond, Request: "r1",
	}
	client, at := startServer(t, &scriptedPeer{finalErr: sent})
	var got *spoke.Refusal
	assert.Assert(t, errors.As(streamError(t, client, at), &got))
	assert.DeepEqual(t, got, sent)
}

// Guards against a stream that closes without an end frame and is accepted as complete.
func TestTruncatedStreamIsAnError(t *testing.T) {
	truncated := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"kind":"piece","attempt":"r1-1","version":"v1","tokens":1,"text":"ab"}`+"\n")
	}))
	t.Cleanup(truncated.Close)
	client, _ := startServer(t, &scriptedPeer{})
	assert.ErrorIs(t, streamError(t, client, addressOf(truncated)), spoke.ErrOwnerLost)
}

// Guards against a stream that ends inside a frame and is reported as a failure of the upstream, which then
// gets no more attempts of the request, although its owner was lost.
func TestStreamEndingInsideFrameLosesOwner(t *testing.T) {
	const line = `{"kind":"piece","attempt":"r1-1","version":"v1","tokens":1,"text":"ab"}`
	handler := frame.New(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, line+"\n"+line+"\n")
	}))
	truncated := httptest.NewServer(handler)
	t.Cleanup(truncated.Close)
	client, _ := startServer(t, &scriptedPeer{})
	for _, shape := range frame.Shapes() {
		for _, rest := range []int{1, len(line) / 2} {
			for _, shape.IsReset = range []bool{false, true} {
				shape.Cut = func(body []byte) []byte { return body[:len(body)-rest] }
				handler.SetShape(shape)
				err := streamError(t, client, addressOf(truncated))
				assert.Check(t, errors.Is(err, spoke.ErrOwnerLost), "%d bytes missing: %v", rest, err)
			}
		}
	}
}

// Guards against accepting messages of processes that do not have the peer secret.
func TestForeignSignatureIsRejected(t *testing.T) {
	_, at := startServer(t, &scriptedPeer{})
	clock := timer.NewSystem()
	foreign := wire.NewClient(wire.NewSigner("another secret, same length"), clock, events.NewRecorder("x", clock, 1))
	_, err := foreign.Heartbeat(context.Background(), at, member.Heartbeat{From: "x"})
	assert.ErrorContains(t, err, "403")
	_, err = foreign.Run(context.Background(), at, sampleDispatch())
	assert.ErrorIs(t, err, spoke.ErrNotRun)
}

// Guards against heartbeat records that lose fields, and against bodies above the compression
// threshold that cannot be decoded.
func TestHeartbeatRoundTrip(t *testing.T) {
	peer := &scriptedPeer{}
	client, at := startServer(t, peer)
	record := member.Record{
		ID: "h1", DataCentre: "dc1", Address: "127.0.0.1:1", Leaving: true, Partial: true,
		Digest: spoke.Digest{
			Number: 9, Leaving: []spoke.UpstreamID{"u2"}, Paused: map[spoke.UpstreamID]time.Time{"u3": time.UnixMilli(7)},
			Loads: map[spoke.UpstreamID]spoke.LoadSummary{"u1": {
				Queued: 1, Running: 2, Limit: 3, ExpectedWait: time.Millisecond, Draining: true, Dead: true,
				Waits:    map[spoke.RankName]time.Duration{"urgent": time.Second},
				Versions: map[spoke.ModelName]spoke.ModelVersion{"m": "v"}, AsOf: time.UnixMilli(5),
			}},
			Marks: []spoke.QuarantineMark{{Fingerprint: "f", Deaths: 2, Expires: time.UnixMilli(6)}},
		},
	}
	heartbeat := member.Heartbeat{From: "h1", Remote: true, Beats: map[spoke.HostID]member.Beat{}}
	for i := range 100 {
		heartbeat.Beats[spoke.HostID(rune('a'+i))] = member.Beat{Incarnation: 1, Count: 2, Version: 3, LoadsVersion: 4}
		heartbeat.Records = append(heartbeat.Records, record)
	}
	response, err := client.Heartbeat(context.Background(), at, heartbeat)
	assert.NilError(t, err)
	assert.DeepEqual(t, peer.heartbeat, heartbeat)
	assert.DeepEqual(t, response, heartbeat)
}

// Guards against updates that lose their number, sender or content in transfer.
func TestUpdateRoundTrip(t *testing.T) {
	peer := &scriptedPeer{}
	client, at := startServer(t, peer)
	fetched, err := client.FetchUpdate(context.Background(), at, 41)
	assert.NilError(t, err)
	assert.Equal(t, string(fetched), "update after 41")
	assert.NilError(t, client.PushUpdate(context.Background(), at, "h 2", []byte("next")))
	assert.Equal(t, peer.update, "h 2: next")
}

func streamError(t *testing.T, client *wire.Client, at spoke.Address) error {
	t.Helper()
	stream, err := client.Run(context.Background(), at, sampleDispatch())
	assert.NilError(t, err)
	defer stream.Close()
	for {
		if _, err := stream.Next(context.Background()); err != nil {
			return err
		}
	}
}

// Guards against prompts that exceed the body limit because JSON encoding escapes HTML characters.
func TestLongPromptOfHTMLCharacters(t *testing.T) {
	peer := &scriptedPeer{finalErr: io.EOF}
	client, at := startServer(t, peer)
	dispatch := sampleDispatch()
	dispatch.Spec.Prompt = strings.Repeat("<", 4<<20)
	stream, err := client.Run(context.Background(), at, dispatch)
	assert.NilError(t, err)
	defer stream.Close()
	_, err = stream.Next(context.Background())
	assert.NilError(t, err)
	_, err = stream.Next(context.Background())
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, peer.dispatch.Spec.Prompt, dispatch.Spec.Prompt)
}
