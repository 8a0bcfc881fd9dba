package rules

// Field describes one field of Rules: when two values of it conflict, and which value is safe beside both.
type Field struct {
	Name        string // as in a document
	Description string // of a conflict: "a router ... than the other's rules allow"
	Consequence string // of a conflict, for users

	conflicts func(a, b *Rules) bool    // a permits what b forbids
	intersect func(a, b, result *Rules) // sets the field of result to the value that permits what both permit
	check     func(r *Rules) error      // returns an error if the value is not valid
}

// Fields returns the description of each field of Rules, in the order of a document. The caller must not change it.
func Fields() []Field { return fields }

// Conflicts returns the fields in which a router acting on a does what b forbids.
func Conflicts(a, b *Rules) []Field {
	var conflicting []Field
	for _, f := range fields {
		if f.conflicts(a, b) {
			conflicting = append(conflicting, f)
		}
	}
	return conflicting
}

// Intersect returns the rules that permit what both a and b permit: in each field the more restrictive value. It is idempotent,
// commutative and associative. The result shares no map with a and b, but may share lists.
func Intersect(a, b *Rules) *Rules {
	result := new(Rules)
	for _, f := range fields {
		f.intersect(a, b, result)
	}
	return result
}
