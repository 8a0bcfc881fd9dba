package policy_test

import (
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"hash"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/decision"
	"bankledge/internal/settings"
	"bankledge/internal/simwire"
)

// With -actions DIR, the actions of each recorded stream are also written to a file in DIR, to find the first
// difference.
var actionsDir = flag.String("actions", "", "directory for the text of the recorded actions")

// The module's decisions are recorded: a generated stream of events, which depends on the actions, must give exactly
// these actions. A different hash means that a decision has changed; unless the change is intended, it is a fault. The
// hashes hold where floating-point operations are not fused, as on amd64.
func TestRecordedDecisions(t *testing.T) {
	for _, c := range []struct {
		settings string
		seed     uint64
		events   int
		hash     string
	}{
		{"inline_reports", 1, 50221, "b21e366dbecfff28623a5bd777759197"},
		{"inline_reports", 2, 28240, "b5c513e954f103885b00ddf3be8e9a19"},
		{"probed_queue", 1, 29513, "f1805a2e5ad88b3de42d9d995ab6afba"},
		{"probed_queue", 2, 28891, "ef213b72c5bdc42dd8fc4b18f0ceda74"},
		{"probed_in_flight", 1, 34174, "0ba92b26736b97d675a67b98442a940c"},
		{"probed_in_flight", 2, 34268, "6067b3b99293d0a702cf6ad35b4e6b22"},
		{"keyed_by_zone", 1, 28459, "db6782fe7014fc6e7f59ebeee3eca40c"},
		{"keyed_by_zone", 2, 23686, "db11ae4e7be3f2193c24fedc29c14dee"},
	} {
		t.Run(fmt.Sprintf("%s/%d", c.settings, c.seed), func(t *testing.T) {
			t.Parallel()
			raw, err := os.ReadFile(filepath.Join("testdata", c.settings+".json"))
			require.NoError(t, err)
			moduleSettings, err := settings.ParseModuleSettings(c.seed, raw)
			require.NoError(t, err)
			record := newActionRecord(t, fmt.Sprintf("%s-%d", c.settings, c.seed))
			site := newGeneratedSite(moduleSettings, c.seed, record)
			site.run(150 * time.Second)
			t.Logf("%d events; actions: %v", site.events, record.counts)
			assert.Equal(t, c.events, site.events)
			assert.Equal(t, c.hash, hex.EncodeToString(record.hash.Sum(nil)[:16]))
		})
	}
}

// actionRecord hashes actions in a form that does not depend on names of Go types, fields or constants.
type actionRecord struct {
	t      *testing.T
	hash   hash.Hash
	text   io.Writer
	counts map[string]int // for the test's log
}

func newActionRecord(t *testing.T, name string) *actionRecord {
	r := &actionRecord{t: t, hash: sha256.New(), counts: map[string]int{}}
	r.text = r.hash
	if *actionsDir != "" {
		file, err := os.Create(filepath.Join(*actionsDir, name))
		require.NoError(t, err)
		t.Cleanup(func() { require.NoError(t, file.Close()) })
		r.text = io.MultiWriter(r.hash, file)
	}
	return r
}

// add records the actions of one call: the adapter's encoding, and the values that it omits.
func (r *actionRecord) add(now time.Duration, actions []decision.Action) {
	line, err := simwire.EncodeReply([]simwire.InstanceActions{{Actions: actions}})
	require.NoError(r.t, err)
	fmt.Fprintf(r.text, "%d %s", now, line)
	for _, action := range actions {
		r.counts[fmt.Sprintf("%T", action)]++
		switch a := action.(type) {
		case decision.StartAttempt:
			fmt.Fprintf(r.text, "start by %d\n", a.StartBefore)
		case decision.CancelAttempt:
			fmt.Fprintf(r.text, "reason %d\n", reasonNumber(r.t, a.Reason))
		case decision.Reject:
			fmt.Fprintf(r.text, "reason %d\n", reasonNumber(r.t, a.Reason))
		case decision.Abort:
			fmt.Fprintf(r.text, "reason %d\n", reasonNumber(r.t, a.Reason))
		case decision.SetTimer:
			fmt.Fprintf(r.text, "at %d\n", a.At)
		}
	}
}

// reasonNumber returns a number for a reason, so that the hash does not depend on the texts of reasons.
func reasonNumber(t *testing.T, reason decision.Reason) int {
	for i, known := range []decision.Reason{decision.ReasonDeadline, decision.ReasonDeadlineUnreachable, decision.ReasonShutdown,
		decision.ReasonTooManyOpenStatements, decision.ReasonNotRetryable, decision.ReasonFinished, decision.ReasonNoProgress,
		decision.ReasonWaitingForBulkLoad, decision.ReasonSlow} {
		if reason == known {
			return i
		}
	}
	require.Fail(t, "unknown reason", "%s", reason)
	return -1
}
