package fleet

import (
	"magnoliaspoke.example/spoke"
)

// part is a stand-in with the address on which it must listen.
type part struct {
	kind      StandinKind
	name      string
	listen    spoke.Address
	arguments []string
}

// standinCommand returns the command line of a stand-in.
func (p Plan) standinCommand(stand part) Command {
	arguments := []string{string(stand.kind), "--id", stand.name, "--listen", string(stand.listen)}
	return Command{
		Name:      stand.name,
		Program:   p.StandinProgram,
		Arguments: append(arguments, stand.arguments...),
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
