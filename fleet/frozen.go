package fleet

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// stoppedState is the state letter in /proc/PID/stat of a process stopped by a signal.
const stoppedState = 'T'

// waitFrozen waits until the process is stopped, or until it is no longer stopped. It polls
// the state because a signal takes effect only after the call that sends it has returned.
func (p *Process) waitFrozen(want bool) error {
	ticker := time.NewTicker(signalPollInterval)
	defer ticker.Stop()
	timeout := time.NewTimer(signalTimeout)
	defer timeout.Stop()
	for {
		frozen, err := p.frozen()
		if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ESRCH) {
			return p.endedInWait(want)
		}
		if err != nil || frozen == want {
			return err
		}
		select {
		case <-ticker.C:
		case <-p.exited:
			return p.endedInWait(want)
		case <-timeout.C:
			return eris.Errorf("process %q: frozen is still %t after %v", p.command.Name, frozen, signalTimeout)
		}
	}
}

// endedInWait returns the result of a wait in which the process ended: an ended process is not
// stopped.
func (p *Process) endedInWait(wantFrozen bool) error {
	if wantFrozen {
		return eris.Errorf("process %q has ended", p.command.Name)
	}
	return nil
}

// frozen reports whether the process is stopped. It reads the state letter, which follows
// the program name in parentheses.
func (p *Process) frozen() (bool, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.ID()))
	if err != nil {
		return false, eris.Wrapf(err, "state of process %q", p.command.Name)
	}
	_, rest, found := bytes.Cut(text[bytes.LastIndexByte(text, ')')+1:], []byte(" "))
	if !found || len(rest) == 0 {
		return false, eris.Errorf("state of process %q: %q has no state letter", p.command.Name, text)
	}
	return rest[0] == stoppedState, nil
}
