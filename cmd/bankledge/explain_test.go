package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/fakes"
)

func TestExplain(t *testing.T) {
	config := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(config, fakes.Config("127.0.0.1:9", fakes.Settings, 32, 256), 0o600))
	for _, c := range []struct {
		name, config, in, err string
		want                  []string // substrings of the output
	}{
		{"a body alone, no configuration", "", `{"body": "select a from sales_3.b where c = 5"}`, "", []string{
			`{"declared":null,"workload":null,"reason":"unknown","kind":"select","groups_read":[3],"groups_written":[],"holds":null,"shape":"`,
			`"normal":"select a from sales_3.b where c = ?","joins":0,"work_ms":null,"memory_mb":null,"confidence":0}`}},
		{"without a configuration labels are neither confirmed nor overruled", "", `{"c": "any", "h": 820, "heap_mb": 96, "body": "merge into a_1.b using c on d = e"}`, "",
			[]string{`{"declared":"any","workload":"any","reason":"unknown","kind":"merge"`, `"holds":1`, `"work_ms":820,"memory_mb":96`}},
		{"with a configuration the structure of the statement overrules the label", config, `{"c": "lookup", "body": "insert into sales_3.a select * from sales_4.b"}`, "",
			[]string{`{"declared":"lookup","workload":"price-load","reason":"writes","kind":"insert","groups_read":[4],"groups_written":[3],"holds":3`}},
		{"lines do not affect each other, and empty ones are skipped", config, strings.Repeat(`{"c":"lookup","body":"select 1 from a"}`+"\n\n", 40), "",
			[]string{`"reason":"unknown"`}},
		{"a text that is too large", config, `{"c":"lookup","body":"select '` + strings.Repeat("x", 20_000) + `'"}`, "", []string{`"workload":"lookup","reason":"large"`, `"shape":""`}},
		{"not JSON", "", "select 1", "line 1: invalid character", nil},
		{"no body", "", `{"body":"select 1"}` + "\n" + `{"c":"lookup"}`, "line 2: body: missing", nil},
		{"an empty body", "", `{"body":" "}`, "line 1: body: must be valid UTF-8 and not blank", nil},
		{"an unknown workload", config, `{"c":"x","body":"select 1"}`, `line 1: c: unknown workload "x"`, nil},
		{"work below 0", "", `{"h":-1,"body":"select 1"}`, "line 1: h: must be above 0 and at most 24 hours, in milliseconds", nil},
		{"memory of 0", "", `{"heap_mb":0,"body":"select 1"}`, "line 1: heap_mb: must be above 0", nil},
		{"a field of another type", "", `{"h":"1","body":"select 1"}`, "line 1: json", nil},
		{"a line that is too long", "", `{"body":"` + strings.Repeat("x", 2*maxLineBytes), "line 1: longer than", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			x, err := newExplainer(c.config)
			require.NoError(t, err)
			var out strings.Builder
			err = x.explainLines(strings.NewReader(c.in), newLinePrinter(&out, true))
			if c.err != "" {
				require.ErrorContains(t, err, c.err)
				return
			}
			require.NoError(t, err)
			for _, want := range c.want {
				assert.Contains(t, out.String(), want)
			}
			assert.NoError(t, x.explainLines(strings.NewReader(c.in), newLinePrinter(&out, false)))
		})
	}
	_, err := newExplainer("nowhere")
	require.ErrorContains(t, err, "configuration")
}
