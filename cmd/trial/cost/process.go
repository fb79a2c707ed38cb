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
	// clockTick is the unit of processor time in the process table on Linux.
	clockTick = 10 * time.Millisecond
	// userField is the position of the user time after the program's name.
	userField   = 11
	systemField = 12
	// residentField is the position of the resident pages.
	residentField = 1
)

// processorTime returns the processor time that a process has used.
func processorTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, eris.Wrap(err, "processor time")
	}
	// The program's name may hold spaces, so that fields count from its end.
	_, after, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(after)
	if len(fields) <= systemField {
		return 0, eris.Errorf("process table entry %q is too short", text)
	}
	user, userErr := strconv.ParseInt(fields[userField], 10, 64)
	system, systemErr := strconv.ParseInt(fields[systemField], 10, 64)
	if userErr != nil || systemErr != nil {
		return 0, eris.Errorf("process table entry %q has no times", text)
	}
	return time.Duration(user+system) * clockTick, nil
}

// ResidentSize returns the memory that a process holds.
func ResidentSize(pid int) (spoke.ByteSize, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, eris.Wrap(err, "resident size")
	}
	fields := strings.Fields(string(text))
	if len(fields) <= residentField {
		return 0, eris.Errorf("memory entry %q is too short", text)
	}
	pages, err := strconv.ParseInt(fields[residentField], 10, 64)
	if err != nil {
		return 0, eris.Wrapf(err, "memory entry %q", text)
	}
	return spoke.ByteSize(pages) * spoke.ByteSize(os.Getpagesize()), nil
}
