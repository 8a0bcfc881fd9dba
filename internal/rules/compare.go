package rules

// Field describes one field of Rules: when two values of the field conflict, and which value conflicts with neither of them.
type Field struct {
	Name        string // JSON key
	Description string // what a conflict means; completes the sentence "a router ... than the other's rules allow"
	Consequence string // what users may experience during a conflict

	conflicts func(a, b *Rules) bool    // reports whether a permits something that b forbids
	intersect func(a, b, result *Rules) // sets the field of result to the value that permits exactly what both permit
	check     func(r *Rules) error      // returns an error if the value is invalid
}

// Fields returns the description of each field of Rules, in the order in which the fields are encoded. The caller must not modify the
// slice.
func Fields() []Field { return fields }

// ConflictingFields returns the fields in which a permits something that b forbids. It is not symmetric:
// ConflictingFields(b, a) may differ.
func ConflictingFields(a, b *Rules) []Field {
	var conflicting []Field
	for _, f := range fields {
		if f.conflicts(a, b) {
			conflicting = append(conflicting, f)
		}
	}
	return conflicting
}

// Intersect returns the rules that permit exactly what both a and b permit. The operation is idempotent, commutative and associative. The
// result shares no maps with a and b, but may share slices.
func Intersect(a, b *Rules) *Rules {
	result := new(Rules)
	for _, f := range fields {
		f.intersect(a, b, result)
	}
	return result
}
