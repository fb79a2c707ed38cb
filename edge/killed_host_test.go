package edge_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/config"
	"magnoliaspoke.example/spoke/edge"
	fake "magnoliaspoke.example/spoke/fake/platform"
	"magnoliaspoke.example/spoke/platform"
	"magnoliaspoke.example/spoke/timer"
)

// hostProcess is the variable that makes the test program a host process; it holds the settings.
const hostProcess = "SPOKE_TEST_HOST"

// runHostProcess runs a host until it is stopped or standard input ends.
func runHostProcess() {
	var settings config.Relay
	if err := json.Unmarshal([]byte(os.Getenv(hostProcess)), &settings); err != nil {
		panic(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	boot := timer.NewBoot()
	client, control := platform.NewStore(settings.Store, boot.Now), platform.NewControl()
	host, err := edge.New(settings, edge.Dependencies{
		Directory: client, Leases: platform.NewLeases(client), OrdersLease: platform.OrdersLease,
		Control: control, Stores: control, Codec: platform.Codec{}, Timer: timer.NewSystem(), LeaseTimer: boot, Log: log,
	})
	if err != nil {
		panic(err)
	}
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(0)
	}()
	_ = host.Run(make(chan os.Signal))
}

// startHostProcess runs a host as a process, with a number of engines, and returns a function that kills it.
func startHostProcess(t *testing.T, engines int) (d *deployment, kill func()) {
	t.Helper()
	d = &deployment{t: t, store: fake.NewStore()}
	t.Cleanup(d.store.Close)
	for i := range engines {
		engine := fake.NewEngine(fmt.Sprintf("i-%d", i), 4)
		t.Cleanup(engine.Close)
		d.engines = append(d.engines, engine)
		d.putEntry(engine, "ready")
	}
	d.store.Put("op/config", table(1, callerKey))
	d.settings = usualSettings(t, d.store)
	settings, err := json.Marshal(d.settings)
	assert.NilError(t, err)
	process := exec.Command(os.Args[0])
	process.Env = append(os.Environ(), hostProcess+"="+string(settings))
	input, err := process.StdinPipe()
	assert.NilError(t, err)
	assert.NilError(t, process.Start())
	t.Cleanup(func() {
		_ = input.Close()
		_ = process.Wait()
	})
	awaitTrue(t, "host not ready", func() bool {
		status, err := d.readiness()
		return err == nil && status == http.StatusOK
	})
	return d, func() { assert.NilError(t, process.Process.Kill()) }
}

// Guards against streams of a killed host that look whole to callers without chunks, and against whole answers to
// them that are reset.
func TestStreamOfKilledHostDoesNotLookWhole(t *testing.T) {
	for name, header := range map[string]http.Header{"usual": {}, "keep-alive": {"Connection": {"keep-alive"}}} {
		t.Run(name, func(t *testing.T) {
			d, kill := startHostProcess(t, 1)
			for _, whole := range []call{quoteCall("whole"), chatCall("whole"), bookCall("whole"), lookCall("whole")} {
				raw, err := io.ReadAll(d.openOld(d.request(whole)))
				assert.NilError(t, err, "%s", whole.path)
				assert.Assert(t, bytes.HasPrefix(raw, []byte("HTTP/1.0 200 OK\r\n")), "%s: %q", whole.path, raw)
				isStream := whole.path != bookCall("").path && whole.path != lookCall("").path
				assert.Assert(t, !isStream || strings.HasSuffix(string(raw), "\r\n\r\n"+wholeStream), "%s: %q", whole.path, raw)
			}
			release := d.engines[0].Hold(2)
			defer release()
			cut := quoteCall("cut")
			cut.header = header
			conn := d.openOld(d.request(cut))
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
			var got []byte
			for buffer := make([]byte, 4096); !strings.HasSuffix(string(got), "\r\n\r\n"+twoEvents); {
				n, err := conn.Read(buffer)
				assert.NilError(t, err, "after %q", got)
				got = append(got, buffer[:n]...)
			}
			kill()
			rest, err := io.ReadAll(conn)
			assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v after %q", err, rest)
		})
	}
}
