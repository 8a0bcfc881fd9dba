package faultinject

import (
	_ "embed"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

//go:embed preload/hostfault.c
var librarySource []byte

// Build compiles the preloaded library with gcc into a folder and returns its path. An error includes the output of the compiler.
func Build(dir string) (library string, err error) {
	source := filepath.Join(dir, "hostfault.c")
	if err := os.WriteFile(source, librarySource, 0o600); err != nil {
		return "", err
	}
	library = filepath.Join(dir, "hostfault.so")
	// clock_gettime_stepped runs on stacks of the Go runtime, so it must use neither the stack protector nor vector registers.
	out, err := exec.Command("gcc", "-O2", "-Wall", "-Werror", "-fPIC", "-shared", "-pthread", "-fno-stack-protector", "-mgeneral-regs-only",
		"-o", library, source).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("hostfault: gcc failed: %w: %s", err, out)
	}
	return library, nil
}
