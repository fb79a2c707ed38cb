package detour_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/detour"
)

// relayVariable holds the address of the upstream of a process that is a relaying host.
const relayVariable = "SPOKE_DETOUR_UPSTREAM"

// turn lets the upstream send its next event when the one before has arrived.
var turn = make(chan struct{})

// BenchmarkRelayingHost measures the processor time of the relaying host, as a process of its own, for calls with a stream
// of events: with a tunnel for each call, and over one that stays open.
func BenchmarkRelayingHost(b *testing.B) {
	for _, name := range []string{"tunnel per call", "open tunnel"} {
		b.Run(name, func(b *testing.B) {
			listener := listen(b)
			served := make(chan struct{})
			go func() {
				defer close(served)
				serveStreams(listener)
			}()
			via, stop := startRelay(b, listener.Addr().String())
			dialer := detour.NewDialer(testTimeout)
			var conn net.Conn
			transferred := 0
			for b.Loop() {
				if conn == nil {
					conn = dialRelay(b, dialer, via)
				}
				stream(b, conn)
				if name == "tunnel per call" {
					transferred += conn.(*detour.Conn).Transferred()
					_ = conn.Close()
					conn = nil
				}
			}
			if conn != nil {
				transferred = conn.(*detour.Conn).Transferred()
				_ = conn.Close()
			}
			usage := stop()
			b.ReportMetric(float64((usage.UserTime()+usage.SystemTime()).Microseconds())/float64(b.N), "cpu-us/op")
			b.ReportMetric(float64(transferred)/float64(b.N), "tunnel-B/op")
			assert.NilError(b, listener.Close())
			<-served
		})
	}
}

func dialRelay(b *testing.B, dialer *detour.Dialer, via spoke.Address) net.Conn {
	conn, err := dialer.Dial(b.Context(), via, upstreamID)
	if err != nil {
		b.Fatal(err)
	}
	return conn
}

// stream makes a call. The upstream sends each event when the one before has arrived, so that each is a frame.
func stream(b *testing.B, conn net.Conn) {
	if _, err := conn.Write(make([]byte, requestBytes)); err != nil {
		b.Fatal(err)
	}
	event := make([]byte, eventBytes)
	for range eventsPerRun {
		if _, err := io.ReadFull(conn, event); err != nil {
			b.Fatal(err)
		}
		turn <- struct{}{}
	}
}

func serveStreams(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		request := make([]byte, requestBytes)
		for {
			if _, err := io.ReadFull(conn, request); err != nil {
				break
			}
			for range eventsPerRun {
				_, _ = conn.Write(request[:eventBytes])
				<-turn
			}
		}
		_ = conn.Close()
	}
}

// startRelay starts a relaying host; stop ends it and returns what it used.
func startRelay(b *testing.B, upstream string) (via spoke.Address, stop func() *os.ProcessState) {
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), relayVariable+"="+upstream)
	command.Stderr = os.Stderr
	input, err := command.StdinPipe()
	assert.NilError(b, err)
	output, err := command.StdoutPipe()
	assert.NilError(b, err)
	assert.NilError(b, command.Start())
	address, err := bufio.NewReader(output).ReadString('\n')
	assert.NilError(b, err)
	return spoke.Address(strings.TrimSpace(address)), func() *os.ProcessState {
		assert.NilError(b, input.Close())
		assert.NilError(b, command.Wait())
		return command.ProcessState
	}
}

// relayUntilInputEnds is a relaying host; it prints its address.
func relayUntilInputEnds(upstream string) int {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return 1
	}
	handler := detour.NewHandler(func(spoke.UpstreamID) (spoke.Address, bool) { return spoke.Address(upstream), true })
	mux := http.NewServeMux()
	mux.Handle("GET "+detour.Path, handler)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	fmt.Println(listener.Addr())
	_, _ = io.Copy(io.Discard, os.Stdin)
	_ = server.Close()
	_ = handler.Close()
	return 0
}
