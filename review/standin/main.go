// Command standin runs one case of the review: it starts the stand-ins of the platform, the engines and the consumers
// and the processes of the deploy file, and prints whether the rule was kept.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld     = 0
	exitBroken   = 1
	exitCannot   = 2
	longestTotal = 118 * time.Second
)

type (
	// record is the record of a run: what was sent, answered and run.
	record struct {
		mu    sync.Mutex
		file  *os.File
		begun time.Time
	}

	// verdict is the result of a case.
	verdict struct {
		isBroken bool
		text     string
	}

	scenario func(log *record, hasTrouble bool) verdict
)

var (
	scenarios = map[string]scenario{}
	hosts     []*host
	temporary []string
)

// add writes a line with the time since the start.
func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, values...))
}

func cleanUp() {
	for _, h := range hosts {
		h.kill()
	}
	if os.Getenv("REVIEW_KEEP") != "" {
		return
	}
	for _, folder := range temporary {
		_ = os.RemoveAll(folder)
	}
}

// cannotRun ends the program because the case could not be run.
func cannotRun(format string, values ...any) {
	fmt.Printf("cannot run: "+format+"\n", values...)
	cleanUp()
	os.Exit(exitCannot)
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Println("usage: standin SCENARIO RECORD")
		os.Exit(exitCannot)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(exitCannot)
	}
	log := &record{file: file, begun: time.Now()}
	sent = log
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		cannotRun("interrupted")
	}()
	time.AfterFunc(longestTotal, func() { cannotRun("took longer than %s", longestTotal) })
	hasTrouble := os.Getenv("TROUBLE") != "0"
	log.add("scenario %s, trouble %t", os.Args[1], hasTrouble)
	v := scenarios[os.Args[1]](log, hasTrouble)
	cleanUp()
	word, code := "held", exitHeld
	if v.isBroken {
		word, code = "BROKEN", exitBroken
	}
	log.add("rule %s: %s", word, v.text)
	fmt.Printf("rule %s: %s\n", word, v.text)
	_ = file.Close()
	os.Exit(code)
}
