package faultlab

import (
	"fmt"

	"bankledge/internal/configversion"
)

// auditAcknowledged finds proposals that were acknowledged with a number that no version has, and numbers that two proposals were
// acknowledged with. It ignores missing versions that are older than all known ones, since the group has compacted them.
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
			text := fmt.Sprintf("proposals %s and %s were both acknowledged as version %d", other, e.Statement, e.Version)
			found = append(found, Violation{Auditor: auditorAcknowledged, At: e.At, Text: text})
		}
		proposals[e.Version] = e.Statement
		missing := e.Version >= oldest && versions[e.Version] == nil
		if e.Version > newest || missing {
			text := fmt.Sprintf("proposal %s was acknowledged as version %d, which no member has", e.Statement, e.Version)
			found = append(found, Violation{Auditor: auditorAcknowledged, At: e.At, Text: text})
		}
	}
	return found
}
