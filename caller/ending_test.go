package caller_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/caller"
)

const (
	// serverProcess is the variable that makes the test program a server process.
	serverProcess = "SPOKE_TEST_SERVER"
	piece         = "data: piece\n\n"
	// longAnswer is more than a caller with a small buffer takes before it reads.
	longAnswer = 512 << 10
)

func TestMain(m *testing.M) {
	if os.Getenv(serverProcess) != "" {
		runServer()
		return
	}
	os.Exit(m.Run())
}

// runServer serves answers of several forms until the end of standard input, and writes its address and the ends of
// its callers' connections.
func runServer() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Println(listener.Addr())
	server := newServer(func() { os.Exit(1) })
	server.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed || state == http.StateIdle {
			fmt.Println(state)
		}
	}
	go func() { _ = caller.Serve(server, listener) }()
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// newServer returns a server whose answers stop midway, end, or end with their handler, the server or the process.
func newServer(exit func()) *http.Server {
	mux := http.NewServeMux()
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	begin := func(w http.ResponseWriter) {
		_, _ = io.WriteString(w, piece)
		_ = http.NewResponseController(w).Flush()
	}
	unfinished := func(path string, end func(r *http.Request)) {
		mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
			begin(w)
			end(r)
		})
	}
	unfinished("/held", func(r *http.Request) { <-r.Context().Done() })
	unfinished("/panic", func(*http.Request) { panic(http.ErrAbortHandler) })
	unfinished("/exit", func(*http.Request) { exit() })
	unfinished("/close", func(r *http.Request) {
		_ = server.Close()
		<-r.Context().Done()
	})
	mux.HandleFunc("/long-held", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 128*longAnswer))
	})
	mux.HandleFunc("/stream", func(w http.ResponseWriter, _ *http.Request) {
		begin(w)
		begin(w)
	})
	mux.HandleFunc("/long", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", longAnswer))
	})
	mux.HandleFunc("/short", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, piece) })
	mux.HandleFunc("/length", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(longAnswer))
		_, _ = io.WriteString(w, strings.Repeat("x", longAnswer))
	})
	return server
}

// process is a server process of its own.
type process struct {
	address string
	states  *bufio.Reader
	kill    func()
}

func startProcess(t *testing.T) process {
	t.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), serverProcess+"=1")
	input, err := command.StdinPipe()
	assert.NilError(t, err)
	output, err := command.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, command.Start())
	t.Cleanup(func() {
		_ = input.Close()
		_ = command.Wait()
	})
	states := bufio.NewReader(output)
	line, err := states.ReadString('\n')
	assert.NilError(t, err)
	return process{strings.TrimSpace(line), states, func() { assert.NilError(t, command.Process.Kill()) }}
}

// ask sends a request of HTTP/1.0 over a connection with a small buffer and returns the connection.
func ask(t *testing.T, address, path, header string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(64<<10))
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.0\r\n%s\r\n", path, header)
	assert.NilError(t, err)
	return conn, bufio.NewReader(conn)
}

// readHead reads the head of an answer and returns its fields.
func readHead(t *testing.T, from *bufio.Reader) string {
	t.Helper()
	var head strings.Builder
	for !strings.HasSuffix(head.String(), "\r\n\r\n") {
		line, err := from.ReadString('\n')
		assert.NilError(t, err)
		head.WriteString(line)
	}
	return head.String()
}

var oldHeaders = map[string]string{"usual": "", "keep-alive": "Connection: keep-alive\r\n"}

// Guards against an answer without a length or chunks that looks whole although its server was killed: the kernel ends the
// connections of a process in the regular way.
func TestUnfinishedAnswerOfKilledServerIsReset(t *testing.T) {
	for name, header := range oldHeaders {
		t.Run(name, func(t *testing.T) {
			server := startProcess(t)
			_, body := ask(t, server.address, "/held", header)
			assert.Assert(t, !strings.Contains(readHead(t, body), "Content-Length"))
			_, err := io.ReadFull(body, make([]byte, len(piece)))
			assert.NilError(t, err)
			server.kill()
			_, err = io.ReadAll(body)
			assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
		})
	}
}

// Guards against answers without a length or chunks that look whole although the server, its process or the handler
// ended in their middle.
func TestUnfinishedAnswersAreReset(t *testing.T) {
	for _, path := range []string{"/exit", "/close", "/panic"} {
		server := startProcess(t)
		_, body := ask(t, server.address, path, "")
		raw, err := io.ReadAll(body)
		assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%s: %v after %q", path, err, raw)
	}
}

// Guards against an answer that looks whole because its server ended while the rest of it was written to a slow caller.
func TestUnwrittenAnswerOfKilledServerIsReset(t *testing.T) {
	server := startProcess(t)
	_, body := ask(t, server.address, "/long-held", "")
	readHead(t, body)
	server.kill()
	_, err := io.ReadAll(body)
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}

// Guards against whole answers whose last bytes a slow caller loses, or whose end is not regular, because the connection
// is reset, even if the server is killed before the caller reads.
func TestWholeAnswersReachSlowCallers(t *testing.T) {
	bodies := map[string]string{
		"/stream": piece + piece, "/short": piece, "/long": strings.Repeat("x", longAnswer), "/length": strings.Repeat("x", longAnswer),
	}
	for path, want := range bodies {
		for name, header := range oldHeaders {
			t.Run(path[1:]+" "+name, func(t *testing.T) {
				server := startProcess(t)
				conn, body := ask(t, server.address, path, header)
				state, err := server.states.ReadString('\n')
				assert.NilError(t, err)
				if state != "closed\n" {
					// The connection is kept, so the caller ends it.
					assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
				}
				server.kill()
				head := readHead(t, body)
				raw, err := io.ReadAll(body)
				assert.NilError(t, err, "after %d bytes, %q", len(raw), head)
				assert.Assert(t, string(raw) == want, "%d bytes, %q", len(raw), head)
			})
		}
	}
}
