package classify

// Reason is why a statement is classified as it is.
type Reason int

// The reasons. Up to ReasonRunsMatchLabel the declared workload stands.
const (
	ReasonUnknownFingerprint  Reason = iota // the fingerprint is new or was seen too seldom
	ReasonTextTooLarge                      // the text exceeds what the analyser reads
	ReasonInconsistentRuns                  // runs of the fingerprint vary too much
	ReasonLabelMoreReliable                 // labels predict runs better than fingerprints or structure here
	ReasonRunsMatchLabel                    // runs of the fingerprint are as the declared workload's are
	ReasonBulkWrite                         // many rows are written under the label of a workload that reads
	ReasonReadOnly                          // nothing is written under the label of a bulk load
	ReasonTextStructure                     // the text is built like a heavy statement, and its fingerprint is unknown
	ReasonRunsMatchOther                    // runs of the fingerprint are as another workload's are
	ReasonLabelRunsMatchOther               // runs of the fingerprint with this label are as another workload's are
	NumReasons
)

var reasonTexts = [...]string{
	ReasonUnknownFingerprint:  "unknown",
	ReasonTextTooLarge:        "large",
	ReasonInconsistentRuns:    "mixed",
	ReasonLabelMoreReliable:   "labelled",
	ReasonRunsMatchLabel:      "confirmed",
	ReasonBulkWrite:           "writes",
	ReasonReadOnly:            "reads",
	ReasonTextStructure:       "built",
	ReasonRunsMatchOther:      "shape",
	ReasonLabelRunsMatchOther: "shown",
}

// String returns the reason's name in logs and in the output of the explain command.
func (r Reason) String() string { return reasonTexts[r] }
