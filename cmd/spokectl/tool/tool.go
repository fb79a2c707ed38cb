package tool

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/admin"
	"magnoliaspoke.example/spoke/timer"
)

const (
	// ExitDone is the exit code when all hosts answered.
	ExitDone = 0
	// ExitFailed is the exit code of a failed command.
	ExitFailed = 1
	// ExitUsage is the exit code for an invalid command line.
	ExitUsage = 2
	// ExitPartial is the exit code when some of the hosts did not answer.
	ExitPartial = 3
)

var (
	errUsage   = eris.New("wrong usage")
	errPartial = eris.New("some hosts did not answer")
)

type (
	// Option configures a Tool.
	Option func(*Tool)

	// Tool is the operator command.
	Tool struct {
		input    io.Reader
		output   io.Writer
		messages io.Writer
		timer    spoke.Timer
	}

	// session is one execution of the command.
	session struct {
		*Tool
		settings settings
		clients  []*admin.Client
	}
)

// WithTimer sets the timer service that provides the current time, to which ages such as 15m refer.
func WithTimer(service spoke.Timer) Option {
	return func(t *Tool) { t.timer = service }
}

// New returns a Tool that reads from input, writes results to output, and writes errors and warnings
// to messages.
func New(input io.Reader, output, messages io.Writer, options ...Option) *Tool {
	t := &Tool{input: input, output: output, messages: messages, timer: timer.NewSystem()}
	for _, option := range options {
		option(t)
	}
	return t
}

// Run executes one command line and returns the exit code.
func (t *Tool) Run(ctx context.Context, arguments []string) int {
	s := &session{Tool: t}
	parser, err := arg.NewParser(arg.Config{Program: "spokectl"}, &s.settings)
	if err != nil {
		return t.exitCode(err)
	}
	err = parser.Parse(arguments)
	if errors.Is(err, arg.ErrHelp) {
		return t.exitCode(t.help(parser))
	}
	if err == nil && parser.Subcommand() == nil {
		err = eris.New("no command given")
	}
	if err == nil && !s.isOffline() {
		err = s.connect()
	}
	if err != nil {
		_ = parser.WriteUsageForSubcommand(t.messages, parser.SubcommandNames()...)
		return t.exitCode(eris.Wrap(errUsage, err.Error()))
	}
	return t.exitCode(s.dispatch(ctx))
}

func (t *Tool) help(parser *arg.Parser) error {
	names := parser.SubcommandNames()
	epilogue := commonExamples
	if len(names) > 0 {
		epilogue = examples[names[0]]
	} else {
		t.print("%s\n", description)
	}
	if err := parser.WriteHelpForSubcommand(t.output, names...); err != nil {
		return eris.Wrap(err, "write help")
	}
	t.print("\n%s\n", epilogue)
	return nil
}

// exitCode prints err, if there is one, and returns the exit code for it.
func (t *Tool) exitCode(err error) int {
	if err == nil {
		return ExitDone
	}
	fmt.Fprintln(t.messages, "spokectl:", describe(err))
	switch {
	case errors.Is(err, errUsage):
		return ExitUsage
	case errors.Is(err, errPartial):
		return ExitPartial
	default:
		return ExitFailed
	}
}

// isOffline reports whether the command calls no hosts.
func (s *session) isOffline() bool {
	return s.settings.Late != nil || (s.settings.Explain != nil && s.settings.Explain.Logs != "")
}

func (s *session) connect() error {
	if len(s.settings.Hosts) == 0 {
		return eris.New("no --host given")
	}
	key, err := s.key()
	if err != nil {
		return err
	}
	for _, host := range s.settings.Hosts {
		client := admin.NewClient(spoke.Address(host), key, admin.WithTimeout(s.settings.Timeout))
		s.clients = append(s.clients, client)
	}
	return nil
}

// key returns the administration key from a file or the environment. It is no argument of the
// command, because other users of the machine can read command lines.
func (s *session) key() (string, error) {
	key := s.settings.Key
	if s.settings.KeyFile != "" {
		text, err := os.ReadFile(s.settings.KeyFile)
		if err != nil {
			return "", eris.Wrap(err, "administration key")
		}
		key = strings.TrimSpace(string(text))
	}
	if key == "" {
		return "", eris.New("no administration key given")
	}
	return key, nil
}

func (s *session) dispatch(ctx context.Context) error {
	switch {
	case s.settings.Submit != nil:
		return s.submit(ctx, s.settings.Submit.Files)
	case s.settings.Show != nil:
		return s.show(ctx, spoke.TicketNumber(s.settings.Show.Number))
	case s.settings.Diff != nil:
		return s.diff(ctx, *s.settings.Diff)
	case s.settings.Status != nil:
		return s.status(ctx)
	case s.settings.Drain != nil:
		return s.drain(ctx)
	case s.settings.Timeline != nil:
		return s.timeline(ctx, *s.settings.Timeline)
	case s.settings.Late != nil:
		return s.late(*s.settings.Late)
	case s.isOffline():
		return s.explainFromLogs(*s.settings.Explain)
	default:
		return s.explain(ctx, spoke.RequestID(s.settings.Explain.Request))
	}
}

func (t *Tool) print(format string, args ...any) { fmt.Fprintf(t.output, format, args...) }

func (t *Tool) warn(format string, args ...any) { fmt.Fprintf(t.messages, format+"\n", args...) }

// parseTime parses an RFC 3339 time or an age; an empty text is the zero time.
func (t *Tool) parseTime(text, name string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if age, err := time.ParseDuration(text); err == nil {
		return t.timer.Now().Add(-age), nil
	}
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return at, eris.Wrapf(errUsage, "--%s %q is neither an RFC 3339 time nor an age", name, text)
	}
	return at, nil
}
