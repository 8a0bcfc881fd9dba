package fingerprint

// RecentRuns is how many of the last runs are stored individually.
const RecentRuns = 9

// RecentRunTimes stores the last RecentRuns values, natural logarithms of seconds. The zero value is empty.
type RecentRunTimes struct {
	added  uint32 // all that were ever added
	values [RecentRuns]float32
}

// Add adds a value in place of the oldest.
func (r *RecentRunTimes) Add(value float64) {
	r.values[r.added%RecentRuns] = float32(value)
	r.added++
}

// N returns how many values were added in all.
func (r *RecentRunTimes) N() int { return int(r.added) }

// Full reports whether at least RecentRuns values were added.
func (r *RecentRunTimes) Full() bool { return r.added >= RecentRuns }

// sorted returns the values in ascending order, and how many there are.
func (r *RecentRunTimes) sorted() (values [RecentRuns]float32, count int) {
	values = r.values
	count = min(int(r.added), RecentRuns)
	for i := 1; i < count; i++ { // insertion sort: fastest for so few, and no slice escapes
		for j := i; j > 0 && values[j] < values[j-1]; j-- {
			values[j], values[j-1] = values[j-1], values[j]
		}
	}
	return values, count
}

// Median returns the middle value; 0 if there is none.
func (r *RecentRunTimes) Median() float64 {
	if r.added == 0 {
		return 0
	}
	values, count := r.sorted()
	return float64(values[count/2])
}

// High returns a value that nearly all lie below: the second highest; 0 if there is none.
func (r *RecentRunTimes) High() float64 {
	if r.added == 0 {
		return 0
	}
	values, count := r.sorted()
	return float64(values[max(0, count-2)])
}

// Spread returns an estimate of the standard deviation from the inner seven of nine values; 0 if there are fewer.
func (r *RecentRunTimes) Spread() float64 {
	values, count := r.sorted()
	if count < RecentRuns {
		return 0
	}
	return float64(values[RecentRuns-2]-values[1]) / 2.0
}
