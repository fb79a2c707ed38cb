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

const testTimeout = 20 * time.Second

func boundedContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func newFleet(t *testing.T) *fleet.Fleet {
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
	return fleet.Command{Name: name, Program: os.Args[0], Arguments: arguments, Lifetime: testTimeout}
}

// Guards against a graceful stop that kills the process and against a lost log.
func TestStopIsGraceful(t *testing.T) {
	f := newFleet(t)
	process, err := f.Start(boundedContext(t), command("a"))
	assert.NilError(t, err)
	assert.Assert(t, process.Address(ready.Service) != "")
	_, err = f.Start(boundedContext(t), command("a"))
	assert.ErrorIs(t, err, fleet.ErrRunning)

	code, err := process.Stop(boundedContext(t))
	assert.NilError(t, err)
	assert.Equal(t, code, 0)
	log, err := process.Log()
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(log, "a ends\n"), log)

	again, err := f.Restart(boundedContext(t), "a")
	assert.NilError(t, err)
	assert.Assert(t, again.ID() != process.ID())
}

// Guards against a frozen process that keeps running and against one that cannot be killed.
func TestFreezeAndThaw(t *testing.T) {
	f := newFleet(t)
	process, err := f.Start(boundedContext(t), command("a"))
	assert.NilError(t, err)
	assert.NilError(t, process.Freeze())
	shortCtx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = process.Stop(shortCtx)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.Assert(t, process.Running())

	assert.NilError(t, process.Thaw())
	code, err := process.ExitCode(boundedContext(t))
	assert.NilError(t, err)
	assert.Equal(t, code, 0)

	process, err = f.Restart(boundedContext(t), "a")
	assert.NilError(t, err)
	assert.NilError(t, process.Freeze())
	process.Kill()
	assert.Assert(t, !process.Running())
}

// Guards against a thaw that fails because the thawed process ended before its state was read.
func TestProcessThatEndsOnThawIsThawed(t *testing.T) {
	f := newFleet(t)
	process, err := f.Start(boundedContext(t), command("a"))
	assert.NilError(t, err)
	process.Kill()
	assert.NilError(t, process.WaitFrozen(false))
	assert.ErrorContains(t, process.WaitFrozen(true), `process "a" has ended`)
}

// Guards against a start that blocks or that omits the cause of a program's failure.
func TestFailedStartShowsLog(t *testing.T) {
	f := newFleet(t)
	_, err := f.Start(boundedContext(t), command("a", "bad"))
	assert.ErrorIs(t, err, ready.ErrNoLine)
	assert.ErrorContains(t, err, `arguments ["bad"]`)
	missing := command("b")
	missing.Program = "/no/such/program"
	_, err = f.Start(boundedContext(t), missing)
	assert.ErrorIs(t, err, os.ErrNotExist)
}

// Guards against processes that run beyond their lifetime or after Close.
func TestLifetimeAndCloseKillProcesses(t *testing.T) {
	f := newFleet(t)
	shortLived := command("brief")
	shortLived.Lifetime = 300 * time.Millisecond
	expired, err := f.Start(boundedContext(t), shortLived)
	assert.NilError(t, err)
	code, err := expired.ExitCode(boundedContext(t))
	assert.NilError(t, err)
	assert.Equal(t, code, -1)

	kept, err := f.Start(boundedContext(t), command("kept"))
	assert.NilError(t, err)
	f.Close()
	assert.Assert(t, !kept.Running())
	assert.Assert(t, errors.Is(syscall.Kill(kept.ID(), 0), syscall.ESRCH))
	_, err = f.Start(boundedContext(t), command("late"))
	assert.ErrorIs(t, err, fleet.ErrClosed)
}

// Guards against children that keep running after their parent process was killed.
func TestParentDeathKillsProcesses(t *testing.T) {
	f := newFleet(t)
	parentCommand := command("parent", t.TempDir())
	parentCommand.Environment = []string{programVariable + "=" + parentValue}
	process, err := f.Start(boundedContext(t), parentCommand)
	assert.NilError(t, err)
	child := string(process.Address(childID))
	assert.Assert(t, child != "")
	process.Kill()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		text, err := os.ReadFile("/proc/" + child + "/stat")
		// An ended child may remain a zombie until the init process reaps it.
		if err != nil || strings.Contains(string(text), ") Z ") {
			return poll.Success()
		}
		return poll.Continue("%s", text)
	}, poll.WithTimeout(testTimeout), poll.WithDelay(time.Millisecond))
}
