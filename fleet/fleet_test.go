package fleet_test

import (
	"context"
	"errors"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"magnoliaspoke.example/spoke/fleet"
	"magnoliaspoke.example/spoke/ready"
)

const limit = 20 * time.Second

func bounded(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	t.Cleanup(cancel)
	return ctx
}

func open(t *testing.T) *fleet.Fleet {
	t.Helper()
	t.Setenv(programVariable, "1")
	f := fleet.New(t.TempDir())
	t.Cleanup(f.Close)
	return f
}

func command(name string, arguments ...string) fleet.Command {
	if len(arguments) == 0 {
		arguments = []string{"engine", "--id", name, "--listen", "127.0.0.1:0"}
	}
	return fleet.Command{Name: name, Program: os.Args[0], Arguments: arguments, Lifetime: limit}
}

// Guards against a graceful stop that kills and against a lost log.
func TestStopIsGraceful(t *testing.T) {
	f := open(t)
	process, err := f.Start(bounded(t), command("a"))
	assert.NilError(t, err)
	assert.Assert(t, process.Address(ready.Service) != "")
	_, err = f.Start(bounded(t), command("a"))
	assert.ErrorIs(t, err, fleet.ErrRunning)

	code, err := process.Stop(bounded(t))
	assert.NilError(t, err)
	assert.Equal(t, code, 0)
	log, err := process.Log()
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(log, "a ends\n"), log)

	again, err := f.Restart(bounded(t), "a")
	assert.NilError(t, err)
	assert.Assert(t, again.ID() != process.ID())
}

// Guards against a frozen process that goes on, or that a kill cannot end.
func TestFreezeAndThaw(t *testing.T) {
	f := open(t)
	process, err := f.Start(bounded(t), command("a"))
	assert.NilError(t, err)
	assert.NilError(t, process.Freeze())
	short, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = process.Stop(short)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.Assert(t, process.Running())

	assert.NilError(t, process.Thaw())
	code, err := process.ExitCode(bounded(t))
	assert.NilError(t, err)
	assert.Equal(t, code, 0)

	process, err = f.Restart(bounded(t), "a")
	assert.NilError(t, err)
	assert.NilError(t, process.Freeze())
	process.Kill()
	assert.Assert(t, !process.Running())
}

// Guards against a start that hangs or hides why a program failed.
func TestFailedStartShowsLog(t *testing.T) {
	f := open(t)
	_, err := f.Start(bounded(t), command("a", "bad"))
	assert.ErrorIs(t, err, ready.ErrNoLine)
	assert.ErrorContains(t, err, `arguments ["bad"]`)
	missing := command("b")
	missing.Program = "/no/such/program"
	_, err = f.Start(bounded(t), missing)
	assert.ErrorIs(t, err, os.ErrNotExist)
}

// Guards against processes that outlive their lifetime or their fleet.
func TestNothingOutlivesTheFleet(t *testing.T) {
	f := open(t)
	brief := command("brief")
	brief.Lifetime = 300 * time.Millisecond
	expired, err := f.Start(bounded(t), brief)
	assert.NilError(t, err)
	code, err := expired.ExitCode(bounded(t))
	assert.NilError(t, err)
	assert.Equal(t, code, -1)

	kept, err := f.Start(bounded(t), command("kept"))
	assert.NilError(t, err)
	f.Close()
	assert.Assert(t, !kept.Running())
	assert.Assert(t, errors.Is(syscall.Kill(kept.ID(), 0), syscall.ESRCH))
	_, err = f.Start(bounded(t), command("late"))
	assert.ErrorIs(t, err, fleet.ErrClosed)
}

// Guards against children that go on after a crash of the process that started them.
func TestNothingOutlivesTheParent(t *testing.T) {
	f := open(t)
	outer := command("parent", t.TempDir())
	outer.Environment = []string{programVariable + "=" + parentValue}
	process, err := f.Start(bounded(t), outer)
	assert.NilError(t, err)
	child := string(process.Address(childID))
	assert.Assert(t, child != "")
	process.Kill()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		text, err := os.ReadFile("/proc/" + child + "/stat")
		// A dead child may stay as a zombie until the system's first process collects it.
		if err != nil || strings.Contains(string(text), ") Z ") {
			return poll.Success()
		}
		return poll.Continue("%s", text)
	}, poll.WithTimeout(limit), poll.WithDelay(time.Millisecond))
}
