package fakes

import (
	"fmt"
	"math"
	"strings"

	"bankledge/decision"
)

const (
	schemaNumberCount = 13
	maxListLength     = 12
	literalRange      = 1e6
	lineBreakOdds     = 16 // one in this many spaces becomes a line break
)

// newFingerprint draws a fingerprint: a template whose placeholders are replaced with names.
func (m *Mix) newFingerprint(w decision.WorkloadID) mixFingerprint {
	text := m.fillPlaceholders(m.pickOne(mixTemplates[w]))
	if m.options.OtherFingerprints {
		text = m.insertCondition(text, w)
	}
	s := mixFingerprint{workload: w, text: text, estimateFactor: m.options.EstimateErrorFactor}
	s.logWork = math.Log(mixWorkloads[w].medianWork) + fingerprintSpread*m.normal.Rand()
	s.alwaysMislabelled = w == Report && m.random.Float64() < alwaysMislabelled
	if m.random.IntN(2) == 0 && s.estimateFactor > 0 {
		s.estimateFactor = 1 / s.estimateFactor
	}
	return s
}

func (m *Mix) pickOne(list []string) string { return list[m.random.IntN(len(list))] }

// fillPlaceholders replaces the placeholders of a template. For each placeholder it draws one name of every kind and uses one of them.
func (m *Mix) fillPlaceholders(text string) string {
	schema := fmt.Sprintf("%s_%d", m.pickOne(mixSchemas), m.random.IntN(schemaNumberCount))
	for {
		i := strings.IndexByte(text, '{')
		if i < 0 {
			return text
		}
		names := map[byte]string{'s': schema, 't': m.pickOne(mixTables), 'c': m.pickOne(mixColumns), 'k': m.pickOne(mixKeys)}
		placeholder := text[i+1]
		name := names[placeholder]
		if m.options.OtherFingerprints && placeholder != 's' {
			name = "x" + name
		}
		text = text[:i] + name + text[i+len("{c}"):]
	}
}

// insertCondition inserts a condition before the existing ones of a text, for a random half of the texts that have conditions.
func (m *Mix) insertCondition(text string, w decision.WorkloadID) string {
	const where = " where "
	lower := strings.ToLower(text)
	i := strings.Index(lower, where)
	if w == PriceLoad || i < 0 || strings.HasPrefix(lower, "with") {
		return text
	}
	if m.random.IntN(2) > 0 {
		return text
	}
	return text[:i] + " /* moved */ WHERE xdeleted IS NULL AND" + text[i+len(where)-1:]
}

// withLiterals replaces the placeholders of a fingerprint's text with literals, and some of its spaces with line breaks.
func (m *Mix) withLiterals(text string) []byte {
	var b strings.Builder
	for i := range len(text) {
		switch c := text[i]; {
		case c == '?' && m.random.IntN(2) == 0:
			fmt.Fprintf(&b, "%d", m.random.IntN(literalRange))
		case c == '?':
			fmt.Fprintf(&b, "'%x'", m.random.Uint32())
		case c == '#':
			m.writeList(&b)
		case c == ' ' && m.random.IntN(lineBreakOdds) == 0:
			b.WriteString("\n  ")
		default:
			b.WriteByte(c)
		}
	}
	return []byte(b.String())
}

// writeList writes a list of one to maxListLength literals.
func (m *Mix) writeList(b *strings.Builder) {
	for i := range 1 + m.random.IntN(maxListLength) {
		if i > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(b, "%d", m.random.IntN(literalRange))
	}
}
