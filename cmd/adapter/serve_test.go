package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/decision"
	"bankledge/internal/simwire"
	"bankledge/policy"
)

const (
	open = `{"OpenInstance":{"rngSeed":7,"info":{"unheard":1,"classes":[{"name":"lookup","idempotency":"idempotent",` +
		`"objective":800000,"deadline":4000000,"gain":1}],"extra":{"threadsByClass":[1],"cpuOfKind":[8],"ramOfKindMb":[8000]},` +
		`"machineTypes":["k"],"feedback":{"via":"inline","fields":["concurrent"]},"zone":"z","tick":5000}}}`
	rows  = `{"SnapshotRows":{"ref":0,"rows":[{"engine":"1.2.3.4:1","locality":"z","sku":"k","status":"Ready","share":1}]}}`
	rows2 = `{"SnapshotRows":{"ref":0,"rows":[{"engine":"9.9.9.9:9","locality":"z","sku":"k","status":"Ready","share":1}]}}`
	known = `{"PeersKnown":{"scope":"Persisted","gen":1,"ref":0}}`
	job   = `{"JobIn":{"corr":"t/a","kind":"lookup","clientGroup":0,"timeBudget":4000000,"estimate":1000}}`
)

func batch(inputs ...string) string {
	return `{"moment":1000,"groups":[{"i":3,"input":[` + strings.Join(inputs, ",") + `]}]}`
}

func TestServe(t *testing.T) {
	for _, c := range []struct{ name, in, out, err string }{
		{"empty input", "", "", ""},
		{"an empty batch", `{"moment":1,"groups":[]}` + "\n", `{"groups":[]}` + "\n", ""},
		{"a statement goes to the engine listed", batch(rows, open, known, job), `"engine":"1.2.3.4:1"`, ""},
		{"a list number is reused within a batch", batch(rows, rows2, open, known, job), `"engine":"9.9.9.9:9"`, ""},
		{"a last line without a line feed", batch(open), `"groups"`, ""},
		{"stopped and opened again", batch(rows, open, known, job, `{"Down":{}}`, open, known), `"SetTimer"`, ""},
		{"a cancellation of an unknown statement", batch(rows, open, known, `{"Hangup":{"corr":"t/zz"}}`), `"SetTimer"`, ""},
		{"not JSON", "so what\n", "", "batch"},
		{"an unknown event", batch(open, `{"Surprise":{}}`), "", "unknown event"},
		{"a field of the wrong type", batch(open, `{"Hangup":{"corr":5}}`), "", "Hangup"},
		{"an unknown field", batch(open, `{"Hangup":{"corr":"t/a","why":1}}`), "", "unknown field"},
		{"an unknown outcome", batch(open, `{"StatusBack":{"ending":"odd","engine":"e","took":1}}`), "", "unknown word"},
		{"a list that was never sent", batch(open, known), "", "never sent"},
		{"an instance never opened", batch(known), "", "never opened"},
		{"two names in one message", `{"moment":1,"groups":[{"i":0,"input":[{"Down":{},"Timer":{}}]}]}`, "", "not one"},
		{"no time", `{"groups":[]}`, "", "moment"},
		{"a report of too many values", batch(open, `{"StatusBack":{"ending":"completed","engine":"e","took":1,`+
			`"telemetry":[1,2]}}`), "", "report"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			err := serve(strings.NewReader(c.in), &out)
			if c.err != "" {
				require.ErrorContains(t, err, c.err)
				return
			}
			require.NoError(t, err)
			assert.Contains(t, out.String(), c.out)
		})
	}
}

func TestPanicBecomesCrash(t *testing.T) {
	modules := instances{3: policy.New(decision.Settings{})}
	noSuchWorkload := simwire.Input{Event: decision.StatementArrived{Workload: 99}}
	actions := modules.handle(0, simwire.InstanceInputs{Instance: 3, Inputs: []simwire.Input{noSuchWorkload}})
	require.Len(t, actions, 1)
	assert.Contains(t, actions[0].(decision.Crash).Text, "out of range")
}
