// Package buffer is a connection's one read buffer: it grows as it needs, is compacted in place, and
// comes back down after something large.
package readbuffer

import (
	"errors"
	"io"
)

const (
	initialSize     = 4 << 10  // bytes at the start, and after something large
	maxRetainedSize = 16 << 10 // an empty buffer above this is given back
)

// ErrFull tells that what is awaited is larger than the buffer may grow.
var ErrFull = errors.New("larger than the buffer may grow")

// Buffer holds what was read and not yet taken.
type Buffer struct {
	data       []byte
	start, end int
	maxSize    int
}

// New returns a buffer that grows to most bytes.
func New(most int) *Buffer { return &Buffer{maxSize: most} }

// Next is what was read and not yet taken; it is good until the next Fill.
func (b *Buffer) Bytes() []byte { return b.data[b.start:b.end] }

// Take drops the first n bytes of Next.
func (b *Buffer) Discard(n int) {
	if b.start += n; b.start == b.end {
		if b.start, b.end = 0, 0; len(b.data) > maxRetainedSize {
			b.data = nil
		}
	}
}

// Fill reads once, after what is there already.
func (b *Buffer) Fill(r io.Reader) (int, error) {
	if b.start > 0 && b.end == len(b.data) {
		b.end = copy(b.data, b.data[b.start:b.end])
		b.start = 0
	}
	if b.end == len(b.data) {
		if len(b.data) >= b.maxSize {
			return 0, ErrFull
		}
		grown := make([]byte, min(b.maxSize, max(initialSize, 2*len(b.data))))
		copy(grown, b.data[:b.end])
		b.data = grown
	}
	n, err := r.Read(b.data[b.end:])
	b.end += n
	return n, err
}
