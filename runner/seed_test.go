package runner_test

import "flag"

// A fixed seed keeps runs repeatable; -rapid.seed on the command line takes precedence.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
