package fleet_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"testing"

	"go.uber.org/goleak"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/config"
	"magnoliaspoke.example/spoke/fleet"
	"magnoliaspoke.example/spoke/ready"
)

const (
	programVariable = "FLEET_TEST_PROGRAM"
	// parentValue makes the program a parent that starts another program.
	parentValue = "parent"
	// childID is the entry of a parent's ready line that holds its child's process id.
	childID ready.Listener = "child-id"
)

// TestMain lets the test binary stand for the programs that a set-up starts, and guards
// against goroutines that a closed fleet leaves behind.
func TestMain(m *testing.M) {
	if os.Getenv(programVariable) == "" {
		goleak.VerifyTestMain(m)
		return
	}
	run := program
	if os.Getenv(programVariable) == parentValue {
		run = parent
	}
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(3)
	}
}

// program listens, writes its name on each connection and ends with 0 on SIGTERM.
func program(arguments []string) error {
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM)
	name, wanted, err := listeners(arguments)
	if err != nil {
		return err
	}
	line := ready.Line{Addresses: make(map[ready.Listener]spoke.Address)}
	for listener, address := range wanted {
		opened, err := net.Listen("tcp", string(address))
		if err != nil {
			return err
		}
		line.Addresses[listener] = spoke.Address(opened.Addr().String())
		go greet(opened, name)
	}
	if err := ready.Write(os.Stdout, line); err != nil {
		return err
	}
	<-ended
	fmt.Fprintln(os.Stderr, name, "ends")
	return nil
}

func listeners(arguments []string) (string, map[ready.Listener]spoke.Address, error) {
	switch {
	case len(arguments) == 2 && arguments[0] == "--settings":
		entry, err := config.Load(arguments[1])
		return string(entry.Host), map[ready.Listener]spoke.Address{
			ready.Caller:   entry.Caller,
			ready.Internal: entry.Internal,
		}, err
	case len(arguments) >= 5:
		return arguments[2], map[ready.Listener]spoke.Address{ready.Service: spoke.Address(arguments[4])}, nil
	default:
		return "", nil, fmt.Errorf("arguments %q", arguments)
	}
}

func greet(listener net.Listener, name string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Write([]byte(name))
		conn.Close()
	}
}

// parent starts a child through a fleet and waits to be killed.
func parent(arguments []string) error {
	child, err := fleet.New(arguments[0]).Start(context.Background(), fleet.Command{
		Name:        "child",
		Program:     os.Args[0],
		Arguments:   []string{"engine", "--id", "child", "--listen", "127.0.0.1:0"},
		Environment: []string{programVariable + "=1"},
		Lifetime:    limit,
	})
	if err != nil {
		return err
	}
	id := spoke.Address(strconv.Itoa(child.ID()))
	if err := ready.Write(os.Stdout, ready.Line{Addresses: map[ready.Listener]spoke.Address{childID: id}}); err != nil {
		return err
	}
	<-child.Exited()
	return nil
}
