package trial

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"regexp"
	"testing"

	"github.com/stretchr/testify/assert"
)

// spoken are the lines of a trace that hold what a router logs: its wording may change.
var spoken = regexp.MustCompile(`(?m)^ *[0-9.]+ router \d+: .*\n`)

// histories are the sums of what commit 05e118f played: each line of the trace but the spoken ones, then the figures.
var histories = [12]string{
	"db25ee29ee8d7c90", "18dc0aa5d3c32a7b", "7f7aae18fffc9e52", "4f84d06e3b2676cc", "68c55cc9a573b975", "1a20511a8fb39f96",
	"56cbd36a1c700640", "3615bfca255d0918", "84c986ad48b88ef7", "b6dc2e97f17bd818", "678a88fa47bb90e7", "563ce0ad91f3ce49",
}

// Each seed gives the history that it gave at commit 05e118f: elections, what each router acts on and when, faults, figures.
func TestRecordedHistories(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			o := options(seed)
			var trace bytes.Buffer
			r := Play(o, &trace)
			sum := fnv.New64a()
			sum.Write(spoken.ReplaceAll(trace.Bytes(), nil))
			fmt.Fprintln(sum, len(r.Findings), r.Versions, r.InForce, int64(r.Worst), r.Over, r.Pairs, r.Terms, int64(r.Late), r.Converged)
			o.Push = true
			r = Play(o, nil)
			fmt.Fprintln(sum, r.Versions, r.InForce, int64(r.Worst), r.Over, r.Pairs, r.Terms, int64(r.Late), r.Converged)
			assert.Equal(t, histories[seed], fmt.Sprintf("%016x", sum.Sum64()))
		})
	}
}
