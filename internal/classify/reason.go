package classify

// Reason is why a statement is treated as a workload.
type Reason int

// The reasons up to ReasonRunsMatchLabel keep the declared workload; the others choose another one.
const (
	ReasonUnknownFingerprint  Reason = iota // the fingerprint is new or has too few runs
	ReasonTextTooLarge                      // the text is longer than the analyser reads
	ReasonInconsistentRuns                  // the fingerprint's run times vary too much
	ReasonLabelMoreReliable                 // labels predict run times better than fingerprints or structure
	ReasonRunsMatchLabel                    // the run times match the declared workload, or a write's label is accepted
	ReasonBulkWrite                         // the text writes many rows, but the declared workload is no bulk load
	ReasonReadOnly                          // the text writes nothing, but the declared workload is a bulk load
	ReasonTextStructure                     // too few runs, and the text has the structure of a heavy statement
	ReasonRunsMatchOther                    // the run times under all labels match another workload
	ReasonLabelRunsMatchOther               // the run times under the declared label match another workload
	NumReasons                              // the number of reasons
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
