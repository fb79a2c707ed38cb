package scene

import (
	"context"
	"os/exec"
	"path/filepath"

	"github.com/rotisserie/eris"
)

// Programs holds the paths of the programs that scenarios run.
type Programs struct {
	Entry    string
	Standin  string
	Spokectl string
}

// Build compiles the programs of the Go workspace at root into a directory.
func Build(ctx context.Context, root, directory string) (Programs, error) {
	command := exec.CommandContext(ctx, "go", "build", "-o", directory+string(filepath.Separator),
		"./cmd/entry", "./cmd/standin", "./cmd/spokectl")
	command.Dir = root
	if output, err := command.CombinedOutput(); err != nil {
		return Programs{}, eris.Wrapf(err, "build programs: %s", output)
	}
	return Programs{
		Entry:    filepath.Join(directory, "entry"),
		Standin:  filepath.Join(directory, "standin"),
		Spokectl: filepath.Join(directory, "spokectl"),
	}, nil
}
