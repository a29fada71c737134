package testbed

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// Build builds the program in a directory, as it is deployed: linked against libc, and without the race detector, which
// needs several times the memory.
func Build(dir string) (Program, error) {
	path := filepath.Join(dir, "jasperpin")
	build := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", path, "jasperpin/cmd/jasperpin")
	build.Env = append(os.Environ(), "CGO_ENABLED=1")
	if output, err := build.CombinedOutput(); err != nil {
		return Program{}, fmt.Errorf("building the program: %w: %s", err, output)
	}
	return Program{Path: path}, nil
}
