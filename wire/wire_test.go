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
	"magnoliaspoke.example/spoke/member"
	"magnoliaspoke.example/spoke/timer"
	"magnoliaspoke.example/spoke/wire"
)

const secret = "a secret of enough bytes"

// scripted is a peer that answers runs with prepared pieces and a final error.
type scripted struct {
	pieces []spoke.Piece
	final  error
	got    spoke.Dispatch
	beat   member.Heartbeat
	update string
}

func (s *scripted) Heartbeat(_ context.Context, beat member.Heartbeat) (member.Heartbeat, error) {
	s.beat = beat
	return beat, nil
}

func (s *scripted) Update(_ context.Context, after spoke.TicketNumber) ([]byte, error) {
	return fmt.Appendf(nil, "update after %d", after), nil
}

func (s *scripted) TakeUpdate(_ context.Context, from spoke.HostID, update []byte) error {
	s.update = string(from) + ": " + string(update)
	return nil
}

func (s *scripted) Run(_ context.Context, dispatch spoke.Dispatch) (spoke.RunStream, error) {
	s.got = dispatch
	return &script{pieces: s.pieces, final: s.final}, nil
}

type script struct {
	pieces []spoke.Piece
	final  error
}

func (s *script) Next(context.Context) (spoke.Piece, error) {
	if len(s.pieces) == 0 {
		return spoke.Piece{}, s.final
	}
	piece := s.pieces[0]
	s.pieces = s.pieces[1:]
	return piece, nil
}

func (s *script) Close() error { return nil }

func serve(t *testing.T, peer wire.Peer) (*wire.Client, spoke.Address) {
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

// Guards against fields that are lost between two hosts.
func TestRunCarriesDispatchAndPieces(t *testing.T) {
	peer := &scripted{final: io.EOF, pieces: []spoke.Piece{
		{Attempt: "r1-1", Version: "v1", Offset: 2, Tokens: 1, Text: "cd"},
		{Attempt: "r1-1"},
		{Attempt: "r1-1", Version: "v1", Offset: 3, Finish: spoke.FinishStop, Usage: spoke.Usage{Prompt: 9, Completion: 1, Cached: 4}},
	}}
	client, at := serve(t, peer)
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
	assert.DeepEqual(t, peer.got, sampleDispatch())
}

// Guards against failures that lose their meaning on the way: a retry decision rests on them.
func TestFailuresKeepTheirMarks(t *testing.T) {
	for _, marks := range [][]error{
		{spoke.ErrUpstreamDied},
		{spoke.ErrPreempted},
		{spoke.ErrIdleTimeout},
		{spoke.ErrIncomplete},
		{spoke.ErrNotRun},
		{spoke.ErrNotRun, spoke.ErrBusy},
		{spoke.ErrNotRun, spoke.ErrDraining},
		{spoke.ErrNotRun, spoke.ErrWrongVersion},
	} {
		client, at := serve(t, &scripted{final: errors.Join(marks...)})
		err := lastError(t, client, at)
		for _, mark := range marks {
			assert.ErrorIs(t, err, mark)
		}
		assert.Equal(t, errors.Is(err, spoke.ErrNotRun), errors.Is(errors.Join(marks...), spoke.ErrNotRun))
	}
}

// Guards against a refusal whose outcome or retry hint changes on the way.
func TestRefusalCrossesUnchanged(t *testing.T) {
	sent := &spoke.Refusal{
		Code: spoke.CodeOverloaded, Outcome: spoke.OutcomeNotRun, Message: "queue is full",
		RetryAfter: 1500 * time.Millisecond, Request: "r1",
	}
	client, at := serve(t, &scripted{final: sent})
	var got *spoke.Refusal
	assert.Assert(t, errors.As(lastError(t, client, at), &got))
	assert.DeepEqual(t, got, sent)
}

// Guards against a stream that closes without end mark and looks complete.
func TestCutStreamIsNotComplete(t *testing.T) {
	cut := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"kind":"piece","attempt":"r1-1","version":"v1","tokens":1,"text":"ab"}`+"\n")
	}))
	t.Cleanup(cut.Close)
	client, _ := serve(t, &scripted{})
	assert.ErrorIs(t, lastError(t, client, addressOf(cut)), spoke.ErrOwnerLost)
}

// Guards against messages of processes that do not hold the peer secret.
func TestForeignSignatureIsRefused(t *testing.T) {
	_, at := serve(t, &scripted{})
	clock := timer.NewSystem()
	foreign := wire.NewClient(wire.NewSigner("another secret, same length"), clock, events.NewRecorder("x", clock, 1))
	_, err := foreign.Heartbeat(context.Background(), at, member.Heartbeat{From: "x"})
	assert.ErrorContains(t, err, "403")
	_, err = foreign.Run(context.Background(), at, sampleDispatch())
	assert.ErrorIs(t, err, spoke.ErrNotRun)
}

// Guards against heartbeat records that lose fields, and against bodies above the
// compression threshold that cannot be read back.
func TestHeartbeatRoundTrip(t *testing.T) {
	peer := &scripted{}
	client, at := serve(t, peer)
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
	beat := member.Heartbeat{From: "h1", Remote: true, Beats: map[spoke.HostID]member.Beat{}}
	for i := range 100 {
		beat.Beats[spoke.HostID(rune('a'+i))] = member.Beat{Incarnation: 1, Count: 2, Version: 3, LoadsVersion: 4}
		beat.Records = append(beat.Records, record)
	}
	answer, err := client.Heartbeat(context.Background(), at, beat)
	assert.NilError(t, err)
	assert.DeepEqual(t, peer.beat, beat)
	assert.DeepEqual(t, answer, beat)
}

// Guards against updates that lose their number, sender or content on the way.
func TestUpdatesCross(t *testing.T) {
	peer := &scripted{}
	client, at := serve(t, peer)
	fetched, err := client.FetchUpdate(context.Background(), at, 41)
	assert.NilError(t, err)
	assert.Equal(t, string(fetched), "update after 41")
	assert.NilError(t, client.PushUpdate(context.Background(), at, "h 2", []byte("next")))
	assert.Equal(t, peer.update, "h 2: next")
}

func lastError(t *testing.T, client *wire.Client, at spoke.Address) error {
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

// Guards against prompts that outgrow the limit of the body by the escapes of HTML.
func TestLongPromptCrosses(t *testing.T) {
	peer := &scripted{final: io.EOF}
	client, at := serve(t, peer)
	dispatch := sampleDispatch()
	dispatch.Spec.Prompt = strings.Repeat("<", 4<<20)
	stream, err := client.Run(context.Background(), at, dispatch)
	assert.NilError(t, err)
	defer stream.Close()
	_, err = stream.Next(context.Background())
	assert.NilError(t, err)
	_, err = stream.Next(context.Background())
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, peer.got.Spec.Prompt, dispatch.Spec.Prompt)
}
