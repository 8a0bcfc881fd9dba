package faultlab

import (
	"fmt"

	"bankledge/internal/configversion"
)

// auditAcknowledged finds proposals that were acknowledged with a number that no version has, and numbers that two proposals got. Versions
// older than all known ones have been compacted.
func auditAcknowledged(events []Event, versions map[uint64]*configversion.Version) (found []Violation) {
	newest, oldest := uint64(0), uint64(0)
	for number := range versions {
		newest = max(newest, number)
		if oldest == 0 || number < oldest {
			oldest = number
		}
	}
	proposals := map[uint64]string{} // ids by number
	for _, e := range events {
		if e.Kind != VersionAcknowledged {
			continue
		}
		if other := proposals[e.Version]; other != "" && other != e.Statement {
			text := fmt.Sprintf("proposals %s and %s both got version %d", other, e.Statement, e.Version)
			found = append(found, Violation{Auditor: auditorAcknowledged, At: e.At, Text: text})
		}
		proposals[e.Version] = e.Statement
		missing := e.Version >= oldest && versions[e.Version] == nil
		if e.Version > newest || missing {
			text := fmt.Sprintf("proposal %s was told that it is version %d, and nobody has it", e.Statement, e.Version)
			found = append(found, Violation{Auditor: auditorAcknowledged, At: e.At, Text: text})
		}
	}
	return found
}
