package scene

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/config"
	"magnoliaspoke.example/spoke/fleet"
	"magnoliaspoke.example/spoke/ready"
)

const (
	// stepLimit bounds every wait of a scenario that does not set its patience.
	stepLimit = 20 * time.Second
	// stepCheck is the period at which a wait looks at its condition.
	stepCheck = 5 * time.Millisecond
	// scenarioLimit bounds the lifetime of a scenario's processes.
	scenarioLimit = 2 * time.Minute

	planFile    = "plan.toml"
	objectsFile = "objects.json"
	firstTicket = 1
	author      = "scenario"
)

type (
	// Runner holds what all scenarios share.
	Runner struct {
		programs Programs
		codec    spoke.TicketCodec
		plan     string
		objects  []spoke.Object
	}

	// Option changes a Runner.
	Option func(*Runner)

	// stage is the state of one scenario.
	stage struct {
		runner   *Runner
		ctx      context.Context
		setup    *fleet.Setup
		requests map[string]*exchange
		flows    map[string]*flow
		aliases  map[string]string
		// writes is the platform's count of writes when its faults were last set.
		writes int64
		// patience bounds every wait.
		patience time.Duration
		numbers  numbers
	}

	stageKey struct{}

	command func(s *stage, ts *testscript.TestScript, neg bool, args []string)
)

// NewRunner returns a runner of scenarios with the programs and the codec of tickets.
func NewRunner(programs Programs, codec spoke.TicketCodec, opts ...Option) *Runner {
	r := &Runner{programs: programs, codec: codec}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// WithDefaults sets the text of plan.toml and the objects of the first ticket for scenarios
// that have no files of these.
func WithDefaults(plan string, objects []spoke.Object) Option {
	return func(r *Runner) { r.plan, r.objects = plan, objects }
}

// Params returns parameters that run the scenarios of a directory. A scenario holds
// plan.toml and, if it submits tickets, objects.json, a ticket whose objects are added to
// the first one. The commands stop and kill of testscript keep their meaning; processes
// are ended with terminate and crash.
func (r *Runner) Params(directory string) testscript.Params {
	commands := map[string]command{
		"start":     (*stage).start,
		"terminate": (*stage).terminate,
		"crash":     (*stage).crash,
		"freeze":    (*stage).freeze,
		"thaw":      (*stage).thaw,
		"cut":       (*stage).cut,
		"restore":   (*stage).restore,
		"silence":   (*stage).silence,
		"reset":     (*stage).reset,
		"delay":     (*stage).delay,
		"limit":     (*stage).limit,
		"send":      (*stage).send,
		"expect":    (*stage).expect,
		"within":    (*stage).within,
		"patience":  (*stage).setPatience,
		"ticket":    (*stage).ticket,
		"platform":  (*stage).platform,
		"configure": (*stage).configure,
		"ask":       (*stage).ask,
		"alias":     (*stage).alias,

		"alias-event": (*stage).aliasEvent,
		"book":        (*stage).book,
		"post":        (*stage).post,
		"free":        (*stage).free,
		"flow":        (*stage).flow,
		"halt":        (*stage).halt,
		"insist":      (*stage).insist,
		"race":        (*stage).race,
		"changes":     (*stage).changes,
		"quiet":       (*stage).quiet,
		"audit":       (*stage).audit,
	}
	params := testscript.Params{
		Dir:                directory,
		Setup:              r.prepare,
		RequireUniqueNames: true,
		Cmds:               make(map[string]func(*testscript.TestScript, bool, []string)),
	}
	for name, run := range commands {
		params.Cmds[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			run(ts.Value(stageKey{}).(*stage), ts, neg, args)
		}
	}
	return params
}

func (r *Runner) prepare(env *testscript.Env) error {
	ctx, cancel := context.WithTimeout(context.Background(), scenarioLimit)
	s := &stage{runner: r, ctx: ctx, requests: make(map[string]*exchange), flows: make(map[string]*flow), aliases: make(map[string]string), patience: stepLimit}
	s.numbers.highest = make(map[string]spoke.TicketNumber)
	env.Values[stageKey{}] = s
	env.Setenv("PATH", filepath.Dir(r.programs.Spokectl)+string(os.PathListSeparator)+env.Getenv("PATH"))
	env.Defer(func() {
		failed, ok := env.T().(interface{ Failed() bool })
		show := s.setup != nil && ok && failed.Failed()
		if show {
			s.showTimeline(env.T())
		}
		cancel()
		if s.setup == nil {
			return
		}
		s.setup.Close()
		if show {
			s.showLogs(env.T())
		}
	})
	return nil
}

// launch starts the plan of the scenario and lets spokectl find its hosts.
func (s *stage) launch(ts *testscript.TestScript) error {
	if s.setup != nil {
		return eris.New("the set-up is already started")
	}
	plan, err := s.plan(ts)
	if err != nil {
		return err
	}
	if s.setup, err = fleet.Launch(s.ctx, plan); err != nil {
		return err
	}
	var addresses []string
	for _, host := range s.setup.Hosts() {
		address, err := s.address(host, ready.Admin)
		if err != nil {
			return err
		}
		addresses = append(addresses, string(address))
	}
	s.nameAddresses(ts)
	ts.Setenv("SPOKE_HOSTS", strings.Join(addresses, ","))
	ts.Setenv("SPOKE_ADMIN_KEY", s.setup.Plan().AdminKey)
	return nil
}

// nameAddresses gives tickets the addresses of upstreams and store hosts as
// ADDRESS_ with the name, in which _ stands for -.
func (s *stage) nameAddresses(ts *testscript.TestScript) {
	ticket, err := s.setup.Ticket(firstTicket, author)
	ts.Check(err)
	for _, object := range ticket.Objects {
		switch part := object.(type) {
		case spoke.Upstream:
			ts.Setenv(addressName(string(part.ID)), string(part.Address))
		case spoke.StoreHost:
			ts.Setenv(addressName(string(part.ID)), string(part.Address))
		}
	}
}

func addressName(part string) string { return "ADDRESS_" + strings.ReplaceAll(part, "-", "_") }

func (s *stage) plan(ts *testscript.TestScript) (fleet.Plan, error) {
	text := s.runner.plan
	if _, err := os.Stat(ts.MkAbs(planFile)); err == nil || text == "" {
		text = ts.ReadFile(planFile)
	}
	plan, err := fleet.DecodePlan(planFile, []byte(text))
	if err != nil {
		return plan, err
	}
	for _, centre := range plan.DataCentres {
		for i := range centre.Hosts {
			centre.Hosts[i].Tune = func(settings *config.Entry) { settings.DrainDelay = drainDelay }
		}
	}
	plan.Objects = s.runner.objects
	if _, err := os.Stat(ts.MkAbs(objectsFile)); err == nil {
		objects, err := s.runner.codec.DecodeTicket([]byte(ts.ReadFile(objectsFile)))
		if err != nil {
			return plan, eris.Wrap(err, objectsFile)
		}
		plan.Objects = objects.Objects
	}
	plan.EntryProgram, plan.StandinProgram = s.runner.programs.Entry, s.runner.programs.Standin
	plan.Lifetime = scenarioLimit
	plan.Directory = ts.MkAbs("processes")
	return plan, eris.Wrap(os.MkdirAll(plan.Directory, 0o700), "directory for processes")
}

// address returns the present address of a process's listener, past all relays.
func (s *stage) address(name string, listener ready.Listener) (spoke.Address, error) {
	name, err := s.resolve(name)
	if err != nil {
		return "", err
	}
	process, err := s.setup.Process(name)
	if err != nil {
		return "", err
	}
	address := process.Address(listener)
	if address == "" {
		return "", eris.Errorf("process %q has no listener %q", name, listener)
	}
	return address, nil
}

// check ends the scenario if an error came where none was wanted, or the other way round.
func check(ts *testscript.TestScript, neg bool, err error) {
	switch {
	case neg && err == nil:
		ts.Fatalf("unexpected success")
	case neg:
		ts.Logf("failed as wanted: %v", err)
	default:
		ts.Check(err)
	}
}

// want ends the scenario unless there are the given number of arguments.
func want(ts *testscript.TestScript, args []string, least, most int, usage string) {
	if len(args) < least || len(args) > most {
		ts.Fatalf("usage: %s", usage)
	}
}

// await waits for a condition; the error says what was seen last.
func (s *stage) await(condition func() (bool, string)) error {
	limit := time.NewTimer(s.patience)
	defer limit.Stop()
	tick := time.NewTicker(stepCheck)
	defer tick.Stop()
	for {
		met, seen := condition()
		if met {
			return nil
		}
		select {
		case <-tick.C:
		case <-limit.C:
			return eris.Errorf("not so after %v: %s", s.patience, seen)
		case <-s.ctx.Done():
			return eris.Wrapf(context.Cause(s.ctx), "last seen: %s", seen)
		}
	}
}
