package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// RunProcesses stops hosts that run program and ends engines that are processes for the duration, at moments of one seed,
// and checks the answers. It writes logs into a new subdirectory of directory.
func RunProcesses(program, directory string, seed uint64, duration time.Duration) (Report, error) {
	return runProcesses(program, directory, seed, duration, false)
}

// RunTroubles does the same with engines of two software versions that repeat events, cut answers and send bytes behind
// them, with callers that take streams up at other hosts, and with hosts that are also killed and frozen. It checks the
// order of pieces, of one answer and over a caller's tries.
func RunTroubles(program, directory string, seed uint64, duration time.Duration) (Report, error) {
	return runProcesses(program, directory, seed, duration, true)
}

func runProcesses(program, directory string, seed uint64, duration time.Duration, hasTroubles bool) (Report, error) {
	report := Report{Seed: seed, Statuses: make(map[string]int), LogDirectory: filepath.Join(directory, fmt.Sprintf("seed-%d", seed))}
	if err := os.MkdirAll(report.LogDirectory, 0o700); err != nil {
		return report, err
	}
	var mu sync.Mutex
	started := time.Now()
	logf := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		report.FaultLog = append(report.FaultLog, fmt.Sprintf("%.2f s: ", time.Since(started).Seconds())+fmt.Sprintf(format, args...))
	}
	b, err := newProcessBed(program, report.LogDirectory, hasTroubles, logf)
	defer b.close()
	if err != nil {
		return report, err
	}
	if !b.awaitReady() {
		return report, eris.New("hosts are not ready")
	}
	all, err := b.disrupt(seed, duration)
	if err != nil {
		return report, err
	}
	if hasTroubles {
		return report, b.judgeTroubles(&report, all)
	}
	v, err := b.judge(all)
	if err != nil {
		return report, err
	}
	report.Violations = v.found
	report.summarize(b, v, all)
	return report, nil
}

// disrupt sends calls while it stops hosts and ends engines, and returns the calls.
func (b *processBed) disrupt(seed uint64, duration time.Duration) ([]exchange, error) {
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	callCtx, stopCalls := context.WithCancel(context.Background())
	defer stopCalls()
	var all []exchange
	var callers, faults sync.WaitGroup
	callers.Go(func() { all = b.runFramed(callCtx, seed) })
	var tries []exchange
	disturb := b.stopHosts
	if b.hasTroubles {
		callers.Go(func() { tries = b.runTakeUps(callCtx, seed) })
		disturb = b.disturbHosts
	}
	var stopErr, endErr error
	faults.Go(func() { stopErr = disturb(ctx, rand.New(rand.NewPCG(seed, 1))) })
	faults.Go(func() { endErr = b.endEngines(ctx, rand.New(rand.NewPCG(seed, 2))) })
	faults.Wait()
	stopCalls()
	callers.Wait()
	all = append(all, tries...)
	if stopErr != nil {
		return all, stopErr
	}
	return all, endErr
}

// summarize counts calls, faults and cases.
func (r *Report) summarize(b *processBed, v *verdict, all []exchange) {
	for _, x := range all {
		r.Statuses[fmt.Sprintf("%s %d", x.route, x.status)]++
		if x.isStream() {
			r.Statuses["streams"]++
		}
		if x.err != nil && x.status != 0 {
			r.Statuses["cut after a status"]++
		}
	}
	r.Statuses["stops"] = len(b.stops)
	for _, e := range b.boots {
		if e.end != "" {
			r.Statuses[e.end]++
		}
	}
	maps.Copy(r.Statuses, v.excused)
	for _, kind := range slices.Sorted(maps.Keys(v.cases)) {
		r.FaultLog = append(r.FaultLog, fmt.Sprintf("%d cases of %s", v.cases[kind], kind))
	}
}
