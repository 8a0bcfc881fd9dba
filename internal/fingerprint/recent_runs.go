package fingerprint

// MaxRecentRuns is the number of the last runs that are stored individually.
const MaxRecentRuns = 9

// RecentRunTimes is a ring buffer of the last MaxRecentRuns run times, as natural logarithms of seconds. The zero value
// is empty.
type RecentRunTimes struct {
	added  uint32 // number of values added in all, including replaced ones
	values [MaxRecentRuns]float32
}

// Add adds a value; if the buffer is full, it replaces the oldest one.
func (r *RecentRunTimes) Add(value float64) {
	r.values[r.added%MaxRecentRuns] = float32(value)
	r.added++
}

// N returns the number of values added in all, including those replaced since.
func (r *RecentRunTimes) N() int { return int(r.added) }

// Full reports whether at least MaxRecentRuns values were added.
func (r *RecentRunTimes) Full() bool { return r.added >= MaxRecentRuns }

// sorted returns the stored values in ascending order, and their number.
func (r *RecentRunTimes) sorted() (values [MaxRecentRuns]float32, count int) {
	values = r.values
	count = min(int(r.added), MaxRecentRuns)
	for i := 1; i < count; i++ { // insertion sort: fastest for so few values, and allocates nothing
		for j := i; j > 0 && values[j] < values[j-1]; j-- {
			values[j], values[j-1] = values[j-1], values[j]
		}
	}
	return values, count
}

// Median returns the middle one of the stored values, or 0 if there are none.
func (r *RecentRunTimes) Median() float64 {
	if r.added == 0 {
		return 0
	}
	values, count := r.sorted()
	return float64(values[count/2])
}

// SecondHighest returns the second highest of the stored values, the only one if there is just one, or 0 if there are
// none. It is an upper bound of nearly all values that ignores a single outlier.
func (r *RecentRunTimes) SecondHighest() float64 {
	if r.added == 0 {
		return 0
	}
	values, count := r.sorted()
	return float64(values[max(0, count-2)])
}

// Spread estimates the standard deviation from the range of the stored values without the lowest and the highest, or
// returns 0 until MaxRecentRuns values were added.
func (r *RecentRunTimes) Spread() float64 {
	values, count := r.sorted()
	if count < MaxRecentRuns {
		return 0
	}
	return float64(values[MaxRecentRuns-2]-values[1]) / 2.0
}
