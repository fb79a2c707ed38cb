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
	// programVariable is the environment variable that makes the test binary act as one of
	// the programs of a set-up.
	programVariable = "FLEET_TEST_PROGRAM"
	// parentValue is the value of programVariable that selects runParent.
	parentValue = "parent"
	// childID is the entry in a parent's ready line that holds the process id of its child.
	childID ready.Listener = "child-id"
)

// TestMain lets the test binary act as the programs that a set-up starts, and guards against
// goroutines that leak after a fleet is closed.
func TestMain(m *testing.M) {
	if os.Getenv(programVariable) == "" {
		goleak.VerifyTestMain(m)
		return
	}
	run := runProgram
	if os.Getenv(programVariable) == parentValue {
		run = runParent
	}
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(3)
	}
}

// runProgram listens, writes its name to each connection and returns nil on SIGTERM.
func runProgram(arguments []string) error {
	terminated := make(chan os.Signal, 1)
	signal.Notify(terminated, syscall.SIGTERM)
	name, addresses, err := parseArguments(arguments)
	if err != nil {
		return err
	}
	line := ready.Line{Addresses: make(map[ready.Listener]spoke.Address)}
	for listener, address := range addresses {
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
	<-terminated
	fmt.Fprintln(os.Stderr, name, "ends")
	return nil
}

// parseArguments returns the name of the program and the addresses of its listeners.
func parseArguments(arguments []string) (string, map[ready.Listener]spoke.Address, error) {
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

// runParent starts a child through a fleet and waits until the child ends or it is killed.
func runParent(arguments []string) error {
	child, err := fleet.New(arguments[0]).Start(context.Background(), fleet.Command{
		Name:        "child",
		Program:     os.Args[0],
		Arguments:   []string{"engine", "--id", "child", "--listen", "127.0.0.1:0"},
		Environment: []string{programVariable + "=1"},
		Lifetime:    testTimeout,
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
