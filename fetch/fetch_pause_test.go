package fetch_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/fetch"
)

// fetchVariable is the environment variable that makes this program fetch the URL in it.
const fetchVariable = "FETCH_URL"

// TestMain makes the test program a process that receives a response if it is started as one.
func TestMain(m *testing.M) {
	url := os.Getenv(fetchVariable)
	if url == "" {
		os.Exit(m.Run())
	}
	request, err := http.NewRequest(http.MethodGet, url, nil)
	if err == nil {
		var got fetch.Response
		got, err = fetch.Do(http.DefaultClient, request, limits, nil)
		fmt.Print(len(got.Body), " bytes, ")
	}
	fmt.Print("error ", err)
}

// Guards against a response that counts as silent while its receiver stands still, although it has arrived by then.
func TestResponseToStoppedProcessIsReceivedWhole(t *testing.T) {
	for i := range 4 {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			t.Parallel()
			fetchStopped(t)
		})
	}
}

// fetchStopped stops a process that receives a response while the rest of it arrives.
func fetchStopped(t *testing.T) {
	t.Helper()
	const rest = 500_000
	started := make(chan *os.Process, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		send := func(size int) {
			_, _ = io.WriteString(w, strings.Repeat("x", size))
			w.(http.Flusher).Flush()
		}
		receiver := <-started
		send(1)
		// The first byte has been read by then.
		<-time.After(limits.Idle / 2)
		assert.Check(t, receiver.Signal(syscall.SIGSTOP))
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			send(rest)
		}()
		<-time.After(2 * limits.Idle)
		assert.Check(t, receiver.Signal(syscall.SIGCONT))
		<-sent
	}))
	t.Cleanup(server.Close)
	receiver := exec.Command(os.Args[0])
	// On one processor, the timer fires before most of what has arrived is read.
	receiver.Env = append(os.Environ(), fetchVariable+"="+server.URL, "GOMAXPROCS=1")
	var output strings.Builder
	receiver.Stdout = &output
	assert.NilError(t, receiver.Start())
	started <- receiver.Process
	assert.NilError(t, receiver.Wait())
	assert.Equal(t, output.String(), fmt.Sprintf("%d bytes, error <nil>", 1+rest))
}
