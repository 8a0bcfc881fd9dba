package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Calls that strip the monotonic clock reading of a time or create a time without one, and how many of them each file of the router may
// contain.
var (
	wallClockMethods   = map[string]bool{"Unix": true, "UnixMilli": true, "UnixMicro": true, "UnixNano": true, "UTC": true, "Local": true, "In": true, "AddDate": true}
	wallClockFunctions = map[string]bool{"Unix": true, "UnixMilli": true, "UnixMicro": true, "Date": true, "Parse": true, "ParseInLocation": true}
	wallClockAllowed   = map[string]int{
		"internal/discovery/start_time.go": 1, // the protocol has engines' start times in Unix time
		"internal/proxy/wall_clock.go":     2, // detects steps of the wall clock
	}
)

// wallClockCalls lists where a source file uses the wall clock.
func wallClockCalls(path string, source any) (found []string, err error) {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, source, 0)
	if err != nil {
		return nil, err
	}
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		called, ok := call.Fun.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		operand, isIdentifier := called.X.(*ast.Ident)
		inTimePackage := isIdentifier && operand.Name == "time"
		if inTimePackage && wallClockFunctions[called.Sel.Name] || !inTimePackage && wallClockMethods[called.Sel.Name] || stripsMonotonic(called, call) {
			found = append(found, fmt.Sprintf("%s: %s", files.Position(call.Pos()), called.Sel.Name))
		}
		return true
	})
	return found, nil
}

// stripsMonotonic reports whether a call is Round(0) or Truncate(0).
func stripsMonotonic(called *ast.SelectorExpr, call *ast.CallExpr) bool {
	if called.Sel.Name != "Round" && called.Sel.Name != "Truncate" || len(call.Args) != 1 {
		return false
	}
	zero, ok := call.Args[0].(*ast.BasicLit)
	return ok && zero.Value == "0"
}

// Durations are measured on the monotonic clock: the router's packages use wall clock times only where the protocol or the log
// requires them.
func TestDurationsUseTheMonotonicClock(t *testing.T) {
	found := map[string][]string{}
	for _, folder := range append(readDeployFile(t).Node, "policy") {
		err := filepath.WalkDir(filepath.Join(repositoryRoot, folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			name, err := filepath.Rel(repositoryRoot, path)
			if err != nil {
				return err
			}
			calls, err := wallClockCalls(path, nil)
			if len(calls) > 0 {
				found[filepath.ToSlash(name)] = calls
			}
			return err
		})
		require.NoError(t, err)
	}
	for file, calls := range found {
		assert.Len(t, calls, wallClockAllowed[file], "%s: %v", file, calls)
	}
	for file := range wallClockAllowed {
		assert.Contains(t, found, file)
	}
	for _, line := range []string{"t.UnixNano()", "time.Unix(0, n)", "t.Round(0)", "time.Now().UTC()"} { // the check detects these
		calls, err := wallClockCalls("x.go", "package x\n\nvar x = "+line+"\n")
		require.NoError(t, err)
		assert.Len(t, calls, 1, line)
	}
}
