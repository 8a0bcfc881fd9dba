package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// program is the path of the built program, which all tests run.
var program string

func TestMain(m *testing.M) {
	code, err := buildAndRun(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(code)
}

func buildAndRun(m *testing.M) (code int, err error) {
	dir, err := os.MkdirTemp("", "bankledge-control-")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "bankledge-control")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		return 0, fmt.Errorf("%w: %s", err, out)
	}
	return m.Run(), nil
}
