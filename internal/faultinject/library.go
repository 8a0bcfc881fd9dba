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

// Build compiles the preloaded library into a folder, with gcc, and returns its path. The error holds what the compiler says.
func Build(dir string) (library string, err error) {
	code := filepath.Join(dir, "hostfault.c")
	if err := os.WriteFile(code, librarySource, 0o600); err != nil {
		return "", err
	}
	library = filepath.Join(dir, "hostfault.so")
	// The clock function runs on stacks of the Go runtime: no stack protector, no vector registers to be saved.
	out, err := exec.Command("gcc", "-O2", "-Wall", "-Werror", "-fPIC", "-shared", "-pthread", "-fno-stack-protector", "-mgeneral-regs-only",
		"-o", library, code).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("hostfault: %w: %s", err, out)
	}
	return library, nil
}
