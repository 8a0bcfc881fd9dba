package main

import (
	"go/parser"
	"go/token"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A mutant identifies the guard that it removes by its source text, so a change of that text has to change the mutant as well.
// This test finds a mutant that was not changed, without building it; TestMutantsBuild builds all of them.
func TestMutantEditsApply(t *testing.T) {
	t.Chdir("../..")
	for _, m := range slices.Concat(mutants, shutdownMutants) {
		assertEditsApply(t, m.name, m.edits)
	}
	for _, m := range leaseMutants {
		assertEditsApply(t, m.name, m.edits)
	}
}

func assertEditsApply(t *testing.T, name string, edits []edit) {
	t.Helper()
	texts, err := editedSources(name, edits)
	require.NoError(t, err)
	require.NotEmpty(t, texts, name)
	for file, text := range texts {
		_, err := parser.ParseFile(token.NewFileSet(), file, text, parser.SkipObjectResolution)
		assert.NoError(t, err, name)
	}
}
