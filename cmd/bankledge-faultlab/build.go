package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"bankledge/internal/faultlab"
)

// Package paths of the programs, relative to the repository root.
const (
	routerPackage   = "./cmd/bankledge"
	controlPackage  = "./cmd/bankledge-control"
	faultlabPackage = "./cmd/bankledge-faultlab"
)

// BuildError reports that the go command failed to build a program.
type BuildError struct {
	Program string
	Output  string // of the go command
	Err     error
}

// Error names the program and includes the output of the go command.
func (e *BuildError) Error() string {
	return fmt.Sprintf("building %s failed: %s", e.Program, strings.TrimSpace(e.Output))
}

// Unwrap returns the error of the go command.
func (e *BuildError) Unwrap() error { return e.Err }

// goBuild builds the program of a package and writes it to path. program is its name in errors, flags are passed to go build. The error
// is a *BuildError.
func goBuild(program, path, pkg string, flags ...string) error {
	args := append([]string{"build"}, flags...)
	args = append(args, "-o", path, pkg)
	output, err := exec.Command("go", args...).CombinedOutput()
	if err != nil {
		return &BuildError{Program: program, Output: string(output), Err: err}
	}
	return nil
}

// tempDir creates a temporary directory; remove deletes it.
func tempDir() (dir string, remove func(), err error) {
	dir, err = os.MkdirTemp("", "bankledge-faultlab")
	if err != nil {
		return "", nil, err
	}
	return dir, func() { os.RemoveAll(dir) }, nil
}

// buildRouter returns the path of the given router program, or builds the router if the path is empty. remove deletes what was built.
func buildRouter(given string) (path string, remove func(), err error) {
	if given != "" {
		return given, func() {}, nil
	}
	return buildTemp("the router", "bankledge", routerPackage)
}

// buildControl returns the path of the given control service program, or builds the control service if the path is empty. remove deletes
// what was built.
func buildControl(given string) (path string, remove func(), err error) {
	if given != "" {
		return given, func() {}, nil
	}
	return buildTemp("the control service", "bankledge-control", controlPackage)
}

// buildTemp builds a program in a temporary directory.
func buildTemp(program, file, pkg string) (path string, remove func(), err error) {
	dir, remove, err := tempDir()
	if err != nil {
		return "", nil, err
	}
	path = filepath.Join(dir, file)
	if err := goBuild(program, path, pkg); err != nil {
		remove()
		return "", nil, err
	}
	return path, remove, nil
}

// buildFleet builds the router from sources with the given edits, and the control service without edits.
func buildFleet(edits []edit) (o faultlab.Options, remove func(), err error) {
	router, removeRouter, err := buildEdited("the router", routerPackage, edits)
	if err != nil {
		return o, nil, err
	}
	control, removeControl, err := buildControl("")
	if err != nil {
		removeRouter()
		return o, nil, err
	}
	remove = func() {
		removeRouter()
		removeControl()
	}
	return faultlab.Options{RouterProgram: router, ControlProgram: control}, remove, nil
}
