// Package readbuffer provides a read buffer for a connection. The buffer grows as needed, is compacted in place, and is released once it
// is empty if it has grown large.
package readbuffer

import (
	"errors"
	"io"
)

const (
	initialSize     = 4 << 10  // bytes; also the size after a large buffer was released
	maxRetainedSize = 16 << 10 // bytes; a larger buffer is released once it is empty
)

// ErrFull is returned by Fill if the buffer is full and has its maximum size.
var ErrFull = errors.New("read buffer is full at its maximum size")

// Buffer holds bytes that were read and not yet discarded. It is not safe for concurrent use.
type Buffer struct {
	data    []byte
	start   int // index in data of the first byte that was not discarded
	end     int // index in data after the last byte read
	maxSize int
}

// New returns an empty buffer that grows to at most maxSize bytes.
func New(maxSize int) *Buffer { return &Buffer{maxSize: maxSize} }

// Bytes returns the bytes that were read and not yet discarded. The slice is valid until the next Fill.
func (b *Buffer) Bytes() []byte { return b.data[b.start:b.end] }

// Size returns the bytes of memory that the buffer occupies.
func (b *Buffer) Size() int { return len(b.data) }

// IsFull returns whether the next Fill would need a larger buffer.
func (b *Buffer) IsFull() bool { return b.start == 0 && b.end == len(b.data) }

// GrownSize returns the size to which a full buffer should grow if available further bytes can be read now and its content will have the
// given number of bytes in total: the size that holds what is available, and at least twice the present size, but no more than the content.
func (b *Buffer) GrownSize(available, content int) int {
	wanted := max(2*len(b.data), len(b.Bytes())+available)
	return min(b.maxSize, max(initialSize, min(wanted, content)))
}

// Grow enlarges the buffer to size bytes. It does nothing if the buffer is at least as large.
func (b *Buffer) Grow(size int) {
	if size <= len(b.data) {
		return
	}
	grown := make([]byte, size)
	b.end = copy(grown, b.Bytes())
	b.start = 0
	b.data = grown
}

// Shrink releases the memory of an empty buffer that is larger than size bytes.
func (b *Buffer) Shrink(size int) {
	if b.start == b.end && len(b.data) > size {
		b.data = nil
	}
}

// Discard discards the first n bytes of Bytes.
func (b *Buffer) Discard(n int) {
	b.start += n
	if b.start < b.end {
		return
	}
	b.start = 0
	b.end = 0
	b.Shrink(maxRetainedSize)
}

// Fill calls r.Read once, appends the result to the buffer and returns the number of bytes read. It returns the error of r, or ErrFull.
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

// ensureSpace compacts the buffer, or grows it if no bytes were discarded.
func (b *Buffer) ensureSpace() error {
	if b.start > 0 {
		b.end = copy(b.data, b.data[b.start:b.end])
		b.start = 0
		return nil
	}
	if len(b.data) >= b.maxSize {
		return ErrFull
	}
	b.Grow(b.GrownSize(0, b.maxSize))
	return nil
}
