package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"bankledge/internal/faultlab"
)

// Packages of the programs, from the project's folder.
const (
	routerPackage   = "./cmd/bankledge"
	controlPackage  = "./cmd/bankledge-control"
	faultlabPackage = "./cmd/bankledge-faultlab"
)

// BuildError says that a program does not build.
type BuildError struct {
	Program string
	Output  string // of the compiler
	Err     error
}

// Error names the program and holds what the compiler says.
func (e *BuildError) Error() string {
	return fmt.Sprintf("%s does not build: %s", e.Program, strings.TrimSpace(e.Output))
}

// Unwrap returns the error of the go command.
func (e *BuildError) Unwrap() error { return e.Err }

// goBuild builds the program of a package as the file path. program is its name in errors, flags are those of go build. The error is a
// *BuildError.
func goBuild(program, path, pkg string, flags ...string) error {
	args := append([]string{"build"}, flags...)
	args = append(args, "-o", path, pkg)
	output, err := exec.Command("go", args...).CombinedOutput()
	if err != nil {
		return &BuildError{Program: program, Output: string(output), Err: err}
	}
	return nil
}

// tempDir makes a temporary folder; remove deletes it.
func tempDir() (dir string, remove func(), err error) {
	dir, err = os.MkdirTemp("", "bankledge-faultlab")
	if err != nil {
		return "", nil, err
	}
	return dir, func() { os.RemoveAll(dir) }, nil
}

// buildRouter builds the router, unless a program is named. remove deletes what was built.
func buildRouter(named string) (path string, remove func(), err error) {
	if named != "" {
		return named, func() {}, nil
	}
	return buildTemp("the router", "bankledge", routerPackage)
}

// buildControl builds the control service, unless a program is named. remove deletes what was built.
func buildControl(named string) (path string, remove func(), err error) {
	if named != "" {
		return named, func() {}, nil
	}
	return buildTemp("the control service", "bankledge-control", controlPackage)
}

// buildTemp builds a program in a temporary folder.
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

// buildFleet builds the router, with some source edits, and the control service.
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
