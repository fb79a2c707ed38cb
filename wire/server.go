package wire

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/member"
)

const (
	// dispatchLimit is in bytes and covers the JSON form of a prompt at the caller API's limit of 8 MiB.
	dispatchLimit = 20 << 20
)

type (
	// Peer handles the requests of other entry hosts.
	Peer interface {
		// Heartbeat processes a heartbeat and returns the one to respond with.
		Heartbeat(ctx context.Context, heartbeat member.Heartbeat) (member.Heartbeat, error)
		// Update returns the encoded update that follows a ticket number, nil before the
		// first configuration.
		Update(ctx context.Context, after spoke.TicketNumber) ([]byte, error)
		// TakeUpdate processes an encoded update that another host pushes.
		TakeUpdate(ctx context.Context, from spoke.HostID, update []byte) error
		// Run starts an attempt at an upstream that the host owns.
		Run(ctx context.Context, dispatch spoke.Dispatch) (spoke.RunStream, error)
	}

	// Server serves the internal API of an entry host.
	Server struct {
		peer   Peer
		signer Signer
		timer  spoke.Timer
		clock  spoke.HybridClock
		mux    *http.ServeMux
	}

	bodyHandler func(w http.ResponseWriter, req *http.Request, body []byte)
)

// NewServer returns a server that passes verified requests to a peer.
func NewServer(peer Peer, signer Signer, timer spoke.Timer, clock spoke.HybridClock) *Server {
	server := &Server{peer: peer, signer: signer, timer: timer, clock: clock, mux: http.NewServeMux()}
	server.mux.Handle("POST "+pathHeartbeats, server.verified(server.heartbeat))
	server.mux.Handle("GET "+pathManifest, server.verified(server.update))
	server.mux.Handle("POST "+pathManifest, server.verified(server.takeUpdate))
	server.mux.Handle("POST "+pathRuns, server.verified(server.run))
	return server
}

// ServeHTTP handles one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	s.mux.ServeHTTP(w, req)
}

func (s *Server) verified(handle bodyHandler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		payload, err := io.ReadAll(http.MaxBytesReader(w, req.Body, dispatchLimit))
		if err != nil {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		if err := s.signer.verify(req, payload, s.timer.Now()); err != nil {
			http.Error(w, err.Error(), http.StatusForbidden)
			return
		}
		if clock, ok := parseClock(req.Header.Get(headerClock)); ok {
			s.clock.Observe(clock)
		}
		body, err := decompress(req.Header, payload)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set(headerClock, formatClock(s.clock.Now()))
		handle(w, req, body)
	})
}

func (s *Server) heartbeat(w http.ResponseWriter, req *http.Request, body []byte) {
	heartbeat, err := DecodeHeartbeat(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	response, err := s.peer.Heartbeat(req.Context(), heartbeat)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	encoded, err := EncodeHeartbeat(response)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeCompressed(w, encoded)
}

func (s *Server) update(w http.ResponseWriter, req *http.Request, _ []byte) {
	after, err := strconv.ParseUint(req.URL.Query().Get(paramAfter), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	encoded, err := s.peer.Update(req.Context(), spoke.TicketNumber(after))
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	case encoded == nil:
		http.Error(w, "no configuration in force", http.StatusNotFound)
	default:
		writeCompressed(w, encoded)
	}
}

func (s *Server) takeUpdate(w http.ResponseWriter, req *http.Request, body []byte) {
	from := spoke.HostID(req.URL.Query().Get(paramFrom))
	if err := s.peer.TakeUpdate(req.Context(), from, body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

func (s *Server) run(w http.ResponseWriter, req *http.Request, body []byte) {
	dispatch, err := DecodeDispatch(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	frames := newFrameWriter(w)
	// Send the status line before the run queues, so that the caller can
	// distinguish a long queue wait from a lost owner.
	if err := frames.write(frameJSON{Kind: frameHeartbeat}); err != nil {
		return
	}
	stream, err := s.peer.Run(req.Context(), dispatch)
	if err != nil {
		_ = frames.write(encodeFailure(err))
		return
	}
	defer stream.Close()
	sendPieces(req.Context(), stream, frames)
}

func sendPieces(ctx context.Context, stream spoke.RunStream, frames frameWriter) {
	for {
		piece, err := stream.Next(ctx)
		switch {
		case errors.Is(err, io.EOF):
			_ = frames.write(frameJSON{Kind: frameEnd})
			return
		case err != nil:
			_ = frames.write(encodeFailure(err))
			return
		}
		if frames.write(encodePiece(piece)) != nil {
			return
		}
	}
}

type frameWriter struct {
	encoder *json.Encoder
	control *http.ResponseController
}

func newFrameWriter(w http.ResponseWriter) frameWriter {
	w.Header().Set("Content-Type", "application/x-ndjson")
	return frameWriter{encoder: json.NewEncoder(w), control: http.NewResponseController(w)}
}

func (f frameWriter) write(frame frameJSON) error {
	if err := f.encoder.Encode(frame); err != nil {
		return err
	}
	return f.control.Flush()
}

func decompress(header http.Header, payload []byte) ([]byte, error) {
	if header.Get("Content-Encoding") != "gzip" {
		return payload, nil
	}
	return readBody(header, bytes.NewReader(payload), dispatchLimit)
}

func writeCompressed(w http.ResponseWriter, body []byte) {
	payload, isCompressed := compress(body)
	if isCompressed {
		w.Header().Set("Content-Encoding", "gzip")
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(payload)
}
