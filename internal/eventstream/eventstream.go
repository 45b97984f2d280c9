// Package eventstream reads streams of server-sent events.
package eventstream

import (
	"bytes"
	"errors"
	"io"
)

// maxEventBytes bounds the size of one event.
const maxEventBytes = 1 << 20

// readSize is how many bytes are read at once.
const readSize = 4 << 10

// errPartialEvent is returned for a stream that ends within an event.
var errPartialEvent = errors.New("stream ended within an event")

// Reader splits a stream into events.
type Reader struct {
	r   io.Reader
	buf []byte
	err error
}

// New returns a reader of a stream.
func New(r io.Reader) *Reader { return &Reader{r: r} }

// Next returns the next event, including the blank line that ends it. At the end of a complete stream it returns io.EOF.
// The event is valid until the next call.
func (r *Reader) Next() (event []byte, err error) {
	for {
		if end := bytes.Index(r.buf, []byte("\n\n")); end >= 0 {
			event, r.buf = r.buf[:end+2], r.buf[end+2:]
			return event, nil
		}
		if r.err != nil {
			if errors.Is(r.err, io.EOF) && len(bytes.TrimSpace(r.buf)) > 0 {
				return nil, errPartialEvent
			}
			return nil, r.err
		}
		if len(r.buf) > maxEventBytes {
			return nil, errors.New("event exceeds the size limit")
		}
		b := make([]byte, len(r.buf), len(r.buf)+readSize)
		copy(b, r.buf)
		n, err := r.r.Read(b[len(b):cap(b)])
		r.buf, r.err = b[:len(b)+n], err
	}
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
