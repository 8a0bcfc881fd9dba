package upstream

import (
	"math"
	"strconv"
	"strings"

	"bankledge/decision"
	"bankledge/internal/settings"
)

// parseLoadReport parses NAME:VALUE pairs separated by semicolons. It ignores unknown names and invalid values, and
// returns nil if there is no valid pair.
func parseLoadReport(text string) *decision.LoadReport {
	var report *decision.LoadReport
	for pair := range strings.SplitSeq(text, ";") {
		name, valueText, _ := strings.Cut(pair, ":")
		field, known := settings.ResponseFieldNames[strings.TrimSpace(name)]
		value, valid := parseNonNegative(strings.TrimSpace(valueText))
		if !known || !valid {
			continue
		}
		if report == nil {
			report = &decision.LoadReport{}
		}
		report.Set(field, value)
	}
	return report
}

// parseNonNegative parses a finite number that is 0 or greater.
func parseNonNegative(text string) (value float64, valid bool) {
	value, err := strconv.ParseFloat(text, 64)
	return value, err == nil && value >= 0 && !math.IsInf(value, 0)
}
