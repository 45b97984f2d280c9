// Package eventstream reads streams of server-sent events.
package eventstream

import (
	"bytes"
	"errors"
	"io"
	"mime"
	"strconv"
)

// maxEventBytes bounds the size of one event.
const maxEventBytes = 1 << 20

// readSize is the least size of the read buffer in bytes.
const readSize = 4 << 10

// errPartialEvent is returned for a stream that ends within an event.
var errPartialEvent = errors.New("stream ended within an event")

// Memory is asked before the reader's buffer grows. An error of Grow ends the stream.
type Memory interface {
	Grow(bytes int) error
}

// Reader splits a stream into events.
type Reader struct {
	r       io.Reader
	memory  Memory
	granted int // bytes that memory has granted
	buf     []byte
	scanned int // bytes of buf that do not begin the end of an event
	err     error
}

// New returns a reader of a stream.
func New(r io.Reader, m Memory) *Reader { return &Reader{r: r, memory: m} }

// Next returns the next event, including the blank line that ends it. At the end of a complete stream it returns io.EOF.
// The event is valid until the next call.
func (r *Reader) Next() (event []byte, err error) {
	for {
		if end := bytes.Index(r.buf[r.scanned:], []byte("\n\n")); end >= 0 {
			end += r.scanned + 2
			event, r.buf, r.scanned = r.buf[:end], r.buf[end:], 0
			return event, nil
		}
		r.scanned = max(len(r.buf)-1, 0)
		if r.err != nil {
			if errors.Is(r.err, io.EOF) && len(bytes.TrimSpace(r.buf)) > 0 {
				return nil, errPartialEvent
			}
			return nil, r.err
		}
		if len(r.buf) > maxEventBytes {
			return nil, errors.New("event exceeds the size limit")
		}
		if len(r.buf) == cap(r.buf) {
			if err := r.grow(2*len(r.buf) + readSize); err != nil {
				return nil, err
			}
		}
		n, err := r.r.Read(r.buf[len(r.buf):cap(r.buf)])
		r.buf, r.err = r.buf[:len(r.buf)+n], err
	}
}

// grow replaces the buffer by one of a size. The garbage collector may free an earlier one, so only the largest counts.
func (r *Reader) grow(size int) error {
	if more := size - r.granted; more > 0 {
		r.granted = size
		if err := r.memory.Grow(more); err != nil {
			return err
		}
	}
	r.buf = append(make([]byte, 0, size), r.buf...)
	return nil
}

// IsMediaType reports whether a value of the Content-Type header is that of a stream of events.
func IsMediaType(contentType string) bool {
	t, _, err := mime.ParseMediaType(contentType)
	return err == nil && t == "text/event-stream"
}

// Comment reports whether an event consists of comments and blank lines only.
func Comment(event []byte) bool {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if len(bytes.TrimSpace(line)) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// Follows reports whether an event can come after the one with the id last. It must have an id, and a larger one if both are
// numbers.
func Follows(event []byte, last string) bool {
	id, ok := Field(event, "id")
	if !ok || string(id) == last {
		return false
	}
	n, err := strconv.ParseUint(string(id), 10, 64)
	before, lastErr := strconv.ParseUint(last, 10, 64)
	return err != nil || lastErr != nil || n > before
}

// Field returns the value of the first field of an event with a name.
func Field(event []byte, name string) (value []byte, ok bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		rest, found := bytes.CutPrefix(line, []byte(name+":"))
		if found {
			return bytes.TrimPrefix(bytes.TrimSuffix(rest, []byte("\r")), []byte(" ")), true
		}
	}
	return nil, false
}
