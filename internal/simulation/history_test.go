package simulation

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"regexp"
	"testing"

	"github.com/stretchr/testify/assert"
)

// logLines matches the trace lines of messages that a router logs, whose wording may change.
var logLines = regexp.MustCompile(`(?m)^ *[0-9.]+ router \d+: .*\n`)

// recordedHistories are hashes of the simulations of commit 05e118f: each line of the trace except the log lines, then the results.
var recordedHistories = [12]string{
	"37ae295b4802d1d3", "d13c95da3f3cd7ae", "a4b691f36fba8b06", "aa20b47df42755ba", "784bd57e3aaa8b40", "58f34727a2050a89",
	"8b60b4a0f9c69cb9", "67f9a2b0a7265211", "b0b2cfc217a6fc28", "e0651cd1a0de9a07", "c91eff911b1a6ac4", "ddb4fc52703423c5",
}

func writeResults(w io.Writer, r Result) {
	fmt.Fprintln(w, r.Versions, r.Activated, int64(r.LongestContradiction), r.OverBound, r.Contradictions, r.LeaseShare, int64(r.ConvergenceDelay), r.Converged)
}

// Each seed gives the same history as at commit 05e118f: elections, what each router applies and when, faults, results.
func TestRecordedHistories(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			o := options(seed)
			var trace bytes.Buffer
			r := Run(o, &trace)
			sum := fnv.New64a()
			sum.Write(logLines.ReplaceAll(trace.Bytes(), nil))
			fmt.Fprint(sum, len(r.Violations), " ")
			writeResults(sum, r)
			o.PlainPush = true
			writeResults(sum, Run(o, nil))
			assert.Equal(t, recordedHistories[seed], fmt.Sprintf("%016x", sum.Sum64()))
		})
	}
}
