package invariant

import (
	"fmt"

	"bankledge/decision"
)

// Rule identifies a rule that a step of a request may violate.
type Rule int

// The rules.
const (
	OneAttemptAtATime    Rule = iota // no attempt begins while another attempt of the request is in flight, unless hedging is allowed
	NoDuplicateEffect                // a request that may have run is attempted again only as its workload allows
	WithinAttemptLimit               // a request has no more attempts than the settings allow
	NoAttemptAfterFinish             // no attempt begins once the request is finished
	Placement                        // a request runs only in the zones and on the machine types that its workload allows
	OneAnswer                        // a request has one final answer
	SafeRejection                    // a request is rejected only if no attempt may have run, or if a retry is safe
	ConfirmedAttemptEnd              // the end of a started attempt is reported only with a confirmation that its engine no longer runs it
	NoLostRequest                    // a client connection is not closed while a request on it has no answer yet
	numRules
)

var ruleNames = [numRules]string{
	OneAttemptAtATime:    "one attempt at a time",
	NoDuplicateEffect:    "no duplicate effect",
	WithinAttemptLimit:   "within the attempt limit",
	NoAttemptAfterFinish: "no attempt after the finish",
	Placement:            "placement",
	OneAnswer:            "one answer",
	SafeRejection:        "safe rejection",
	ConfirmedAttemptEnd:  "proven attempt end",
	NoLostRequest:        "no lost request",
}

// String returns the rule's name as used in logs.
func (r Rule) String() string {
	if r < 0 || r >= numRules {
		return fmt.Sprintf("rule %d", int(r))
	}
	return ruleNames[r]
}

// Violation is the error that describes a step that would have violated a rule. A Recorder records it.
type Violation struct {
	Rule      Rule
	Statement decision.StatementID // empty if the step concerns a connection
	Detail    string
}

// Error states the rule, the request and the omitted step.
func (v *Violation) Error() string {
	return fmt.Sprintf("%s: request %q: %s", v.Rule, v.Statement, v.Detail)
}
