package fleet

import (
	"magnoliaspoke.example/spoke"
)

// standinSpec describes a stand-in process and the address on which it listens.
type standinSpec struct {
	kind      StandinKind
	name      string
	listen    spoke.Address
	arguments []string
}

// standinCommand returns the command line of a stand-in.
func (p Plan) standinCommand(spec standinSpec) Command {
	arguments := []string{string(spec.kind), "--id", spec.name, "--listen", string(spec.listen)}
	return Command{
		Name:      spec.name,
		Program:   p.StandinProgram,
		Arguments: append(arguments, spec.arguments...),
		Lifetime:  p.Lifetime,
	}
}

// entryCommand returns the command line of an entry host.
func (p Plan) entryCommand(host spoke.HostID, settings string) Command {
	return Command{
		Name:      string(host),
		Program:   p.EntryProgram,
		Arguments: []string{"--settings", settings},
		Lifetime:  p.Lifetime,
	}
}
