// Package guard checks at run time, beside whatever decided it, that each act in the life of a request keeps the rules: sending,
// repeating, answering, ending an execution and closing a connection. It has no clock, does no I/O and decides nothing: who asks
// it does not do what would break a rule, and the violation is counted and logged. A count above zero is a defect of the router.
package invariant

import (
	"fmt"
	"sync/atomic"

	"go.uber.org/zap"

	"bankledge/decision"
)

// Rule is a rule that an act may break.
type Rule int

// The rules.
const (
	OneAttemptAtATime    Rule = iota // no execution begins while another of the statement is out, where second copies are not allowed
	NoDuplicateEffect                // what may have run is repeated only as its workload allows
	WithinAttemptLimit               // no more executions of a statement than the settings allow
	NoAttemptAfterFinish             // no execution begins once the statement is over
	Placement                        // a statement runs only in the zones and on the kinds of machine that its workload allows
	OneAnswer                        // a statement has one final answer
	SafeRejection                    // a rejection says that nothing ran, or that a repeat is harmless
	ProvenAttemptEnd                 // an execution that was started ends with a proof that its engine does not run it
	NoLostRequest                    // a client connection is not closed while a request on it is owed an answer
	numRules
)

var ruleNames = [numRules]string{"one execution at once", "no effect twice", "within executions", "nothing after the end", "placement",
	"one answer", "true rejection", "proven end", "no lost request"}

// String is the rule's name in logs and figures.
func (r Rule) String() string { return ruleNames[r] }

// Violation is an act that would have broken a rule. It was not done.
type Violation struct {
	Rule      Rule
	Statement decision.StatementID // empty: the act is of a connection
	Detail    string
}

func (v *Violation) Error() string {
	return fmt.Sprintf("%s: statement %q: %s", v.Rule, v.Statement, v.Detail)
}

// Violations counts violations by rule, and logs each. Goroutines share it.
type Recorder struct {
	log    *zap.Logger
	counts [numRules]atomic.Int64
}

// NewViolations returns a count of none.
func NewRecorder(log *zap.Logger) *Recorder { return &Recorder{log: log} }

// Message is the message of the log line that a violation leaves.
const ViolationMessage = "rule violated, not done"

// Count counts a violation and logs it.
func (v *Recorder) Record(x *Violation) {
	v.counts[x.Rule].Add(1)
	v.log.Error(ViolationMessage, zap.Stringer("rule", x.Rule), zap.String("statement", string(x.Statement)), zap.String("detail", x.Detail), zap.Stack("stack"))
}

// Of is how often a rule would have been broken.
func (v *Recorder) Recorded(r Rule) int64 { return v.counts[r].Load() }

// Total is how often any rule would have been broken.
func (v *Recorder) Total() (n int64) {
	for r := range v.counts {
		n += v.counts[r].Load()
	}
	return n
}
