package cost

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

const (
	// clockTick is the unit of processor time in /proc/PID/stat, 1/USER_HZ on Linux.
	clockTick = 10 * time.Millisecond
	// userTimeField and systemTimeField are indices into the fields of /proc/PID/stat after the program name.
	userTimeField   = 11
	systemTimeField = 12
	// residentPagesField is the index of the number of resident pages in /proc/PID/statm.
	residentPagesField = 1
)

// processorTime returns the user and system processor time that a process has used.
func processorTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, eris.Wrap(err, "processor time")
	}
	// The program name may contain spaces, so fields are counted from its closing parenthesis.
	_, after, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(after)
	if len(fields) <= systemTimeField {
		return 0, eris.Errorf("process table entry %q is too short", text)
	}
	user, userErr := strconv.ParseInt(fields[userTimeField], 10, 64)
	system, systemErr := strconv.ParseInt(fields[systemTimeField], 10, 64)
	if userErr != nil || systemErr != nil {
		return 0, eris.Errorf("process table entry %q has no processor times", text)
	}
	return time.Duration(user+system) * clockTick, nil
}

// ResidentSize returns the resident memory of a process in bytes.
func ResidentSize(pid int) (spoke.ByteSize, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, eris.Wrap(err, "resident size")
	}
	fields := strings.Fields(string(text))
	if len(fields) <= residentPagesField {
		return 0, eris.Errorf("memory entry %q is too short", text)
	}
	pages, err := strconv.ParseInt(fields[residentPagesField], 10, 64)
	if err != nil {
		return 0, eris.Wrapf(err, "memory entry %q", text)
	}
	return spoke.ByteSize(pages) * spoke.ByteSize(os.Getpagesize()), nil
}
