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
	// stepTimeout bounds each call to a process. It also bounds each wait for a condition unless the
	// command patience sets another bound.
	stepTimeout = 20 * time.Second
	// conditionInterval is the interval at which a wait checks its condition.
	conditionInterval = 5 * time.Millisecond
	// scenarioTimeout bounds the lifetime of a scenario's processes.
	scenarioTimeout = 2 * time.Minute

	planFile    = "plan.toml"
	objectsFile = "objects.json"
	firstTicket = 1
	author      = "scenario"
)

type (
	// Runner runs scenarios with the same programs, ticket codec and defaults.
	Runner struct {
		programs Programs
		codec    spoke.TicketCodec
		plan     string
		objects  []spoke.Object
	}

	// Option configures a Runner.
	Option func(*Runner)

	// scenario is the state of one running scenario.
	scenario struct {
		runner   *Runner
		ctx      context.Context
		setup    *fleet.Setup
		requests map[string]*exchange
		flows    map[string]*flow
		aliases  map[string]string
		// writeBaseline is the number of writes that the platform had counted when its faults were
		// last set.
		writeBaseline int64
		// waitTimeout bounds every wait for a condition.
		waitTimeout   time.Duration
		ticketNumbers numberTracker
	}

	scenarioKey struct{}

	command func(s *scenario, ts *testscript.TestScript, neg bool, args []string)
)

// NewRunner returns a Runner that starts the programs and encodes tickets with the codec.
func NewRunner(programs Programs, codec spoke.TicketCodec, opts ...Option) *Runner {
	r := &Runner{programs: programs, codec: codec}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// WithDefaults sets the text of plan.toml and the objects of the first ticket for scenarios
// without the files plan.toml and objects.json.
func WithDefaults(plan string, objects []spoke.Object) Option {
	return func(r *Runner) { r.plan, r.objects = plan, objects }
}

// Params returns the testscript parameters for the scenarios of a directory. A scenario
// contains plan.toml and, if it submits tickets, objects.json with a ticket whose objects are
// added to the first ticket; defaults replace missing files. The testscript commands stop and
// kill are unchanged: the commands terminate and crash end processes of the set-up.
func (r *Runner) Params(directory string) testscript.Params {
	commands := map[string]command{
		"start":     (*scenario).start,
		"terminate": (*scenario).terminate,
		"crash":     (*scenario).crash,
		"freeze":    (*scenario).freeze,
		"thaw":      (*scenario).thaw,
		"cut":       (*scenario).cut,
		"restore":   (*scenario).restore,
		"silence":   (*scenario).silence,
		"reset":     (*scenario).reset,
		"delay":     (*scenario).delay,
		"limit":     (*scenario).limit,
		"send":      (*scenario).send,
		"expect":    (*scenario).expect,
		"within":    (*scenario).within,
		"patience":  (*scenario).setWaitTimeout,
		"ticket":    (*scenario).ticket,
		"platform":  (*scenario).platform,
		"configure": (*scenario).configure,
		"ask":       (*scenario).ask,
		"alias":     (*scenario).alias,

		"alias-event": (*scenario).aliasEvent,
		"book":        (*scenario).book,
		"post":        (*scenario).post,
		"free":        (*scenario).free,
		"flow":        (*scenario).flow,
		"halt":        (*scenario).halt,
		"insist":      (*scenario).insist,
		"race":        (*scenario).race,
		"changes":     (*scenario).changes,
		"quiet":       (*scenario).quiet,
		"audit":       (*scenario).audit,
	}
	params := testscript.Params{
		Dir:                directory,
		Setup:              r.prepare,
		RequireUniqueNames: true,
		Cmds:               make(map[string]func(*testscript.TestScript, bool, []string)),
	}
	for name, run := range commands {
		params.Cmds[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			run(ts.Value(scenarioKey{}).(*scenario), ts, neg, args)
		}
	}
	return params
}

func (r *Runner) prepare(env *testscript.Env) error {
	ctx, cancel := context.WithTimeout(context.Background(), scenarioTimeout)
	s := &scenario{runner: r, ctx: ctx, requests: make(map[string]*exchange), flows: make(map[string]*flow), aliases: make(map[string]string), waitTimeout: stepTimeout}
	s.ticketNumbers.highest = make(map[string]spoke.TicketNumber)
	env.Values[scenarioKey{}] = s
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

// launch starts the set-up of the scenario's plan and sets the variables that give spokectl the
// addresses and the administration key of its hosts.
func (s *scenario) launch(ts *testscript.TestScript) error {
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
	s.exportAddresses(ts)
	ts.Setenv("SPOKE_HOSTS", strings.Join(addresses, ","))
	ts.Setenv("SPOKE_ADMIN_KEY", s.setup.Plan().AdminKey)
	return nil
}

// exportAddresses sets a variable for each upstream and store host with its address, for use in
// ticket files. The name of the variable is ADDRESS_ and the id, with _ in place of -.
func (s *scenario) exportAddresses(ts *testscript.TestScript) {
	ticket, err := s.setup.Ticket(firstTicket, author)
	ts.Check(err)
	for _, object := range ticket.Objects {
		switch part := object.(type) {
		case spoke.Upstream:
			ts.Setenv(addressVariable(string(part.ID)), string(part.Address))
		case spoke.StoreHost:
			ts.Setenv(addressVariable(string(part.ID)), string(part.Address))
		}
	}
}

func addressVariable(part string) string { return "ADDRESS_" + strings.ReplaceAll(part, "-", "_") }

func (s *scenario) plan(ts *testscript.TestScript) (fleet.Plan, error) {
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
	plan.Lifetime = scenarioTimeout
	plan.Directory = ts.MkAbs("processes")
	return plan, eris.Wrap(os.MkdirAll(plan.Directory, 0o700), "directory for processes")
}

// address returns the current address of a process's listener, which bypasses relays.
func (s *scenario) address(name string, listener ready.Listener) (spoke.Address, error) {
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

// checkOutcome fails the scenario on an error or, with neg, on success.
func checkOutcome(ts *testscript.TestScript, neg bool, err error) {
	switch {
	case neg && err == nil:
		ts.Fatalf("unexpected success")
	case neg:
		ts.Logf("failed as expected: %v", err)
	default:
		ts.Check(err)
	}
}

// checkArgs fails the scenario unless the number of arguments is within the limits.
func checkArgs(ts *testscript.TestScript, args []string, minArgs, maxArgs int, usage string) {
	if len(args) < minArgs || len(args) > maxArgs {
		ts.Fatalf("usage: %s", usage)
	}
}

// await waits until a condition is met; the error contains the last observation.
func (s *scenario) await(condition func() (bool, string)) error {
	limit := time.NewTimer(s.waitTimeout)
	defer limit.Stop()
	tick := time.NewTicker(conditionInterval)
	defer tick.Stop()
	for {
		met, seen := condition()
		if met {
			return nil
		}
		select {
		case <-tick.C:
		case <-limit.C:
			return eris.Errorf("condition not met after %v: %s", s.waitTimeout, seen)
		case <-s.ctx.Done():
			return eris.Wrapf(context.Cause(s.ctx), "last seen: %s", seen)
		}
	}
}
