package invariant

import (
	"fmt"

	"bankledge/decision"
)

// Rule is a rule that a step of a request may break.
type Rule int

// The rules.
const (
	OneAttemptAtATime    Rule = iota // no attempt begins while another of the request is in flight, where hedged requests are not allowed
	NoDuplicateEffect                // what may have run is attempted again only as its workload allows
	WithinAttemptLimit               // no more attempts of a request than the settings allow
	NoAttemptAfterFinish             // no attempt begins once the request is finished
	Placement                        // a request runs only in the zones and on the machine types that its workload allows
	OneAnswer                        // a request has one final answer
	SafeRejection                    // a request is rejected only if nothing ran, or if a retry is harmless
	ProvenAttemptEnd                 // the end of a started attempt is reported only with a proof that its engine does not run it
	NoLostRequest                    // a client connection is not closed while a request on it has no answer
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
	ProvenAttemptEnd:     "proven attempt end",
	NoLostRequest:        "no lost request",
}

// String is the rule's name in logs.
func (r Rule) String() string {
	if r < 0 || r >= numRules {
		return fmt.Sprintf("rule %d", int(r))
	}
	return ruleNames[r]
}

// Violation is a step that would have broken a rule, as the error that Recorder records.
type Violation struct {
	Rule      Rule
	Statement decision.StatementID // empty: the step concerns a connection
	Detail    string
}

// Error names the rule, the request and what was about to be done.
func (v *Violation) Error() string {
	return fmt.Sprintf("%s: request %q: %s", v.Rule, v.Statement, v.Detail)
}
