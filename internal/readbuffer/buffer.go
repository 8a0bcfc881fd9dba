// Package readbuffer provides a connection's one read buffer: it grows as needed, is compacted in place, and shrinks again after
// something large.
package readbuffer

import (
	"errors"
	"io"
)

const (
	initialSize     = 4 << 10  // bytes, at the start and after something large
	maxRetainedSize = 16 << 10 // bytes; a larger buffer is released once it is empty
)

// ErrFull is returned when what is awaited is larger than the buffer may grow.
var ErrFull = errors.New("larger than the buffer may grow")

// Buffer stores bytes that were read and not yet discarded. It is not safe for concurrent use.
type Buffer struct {
	data    []byte
	start   int // of the unread bytes in data
	end     int
	maxSize int
}

// New returns a buffer that grows to maxSize bytes.
func New(maxSize int) *Buffer { return &Buffer{maxSize: maxSize} }

// Bytes returns the bytes read and not yet discarded; the slice is valid until the next Fill.
func (b *Buffer) Bytes() []byte { return b.data[b.start:b.end] }

// Discard drops the first n of Bytes.
func (b *Buffer) Discard(n int) {
	b.start += n
	if b.start < b.end {
		return
	}
	b.start = 0
	b.end = 0
	if len(b.data) > maxRetainedSize {
		b.data = nil
	}
}

// Fill reads once, behind what is there already, and returns the number of bytes read. Its error is the reader's, or ErrFull.
func (b *Buffer) Fill(r io.Reader) (int, error) {
	if b.end == len(b.data) {
		if err := b.ensureSpace(); err != nil {
			return 0, err
		}
	}
	n, err := r.Read(b.data[b.end:])
	b.end += n
	return n, err
}

// ensureSpace compacts the buffer, or grows it where compacting frees too little.
func (b *Buffer) ensureSpace() error {
	if b.start > 0 {
		b.end = copy(b.data, b.data[b.start:b.end])
		b.start = 0
		return nil
	}
	if len(b.data) >= b.maxSize {
		return ErrFull
	}
	grown := make([]byte, min(b.maxSize, max(initialSize, 2*len(b.data))))
	copy(grown, b.data[:b.end])
	b.data = grown
	return nil
}
