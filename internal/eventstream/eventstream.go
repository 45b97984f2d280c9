// Package eventstream reads streams of server-sent events.
package eventstream

import (
	"bytes"
	"errors"
	"io"
)

// maxEvent bounds one event of a stream.
const maxEvent = 1 << 20

// readSize is how much of a stream is read at once.
const readSize = 4 << 10

// errPartial says that a stream ended within an event.
var errPartial = errors.New("the stream ended within an event")

// Reader splits a stream into events.
type Reader struct {
	r   io.Reader
	buf []byte
	err error
}

// New returns a reader of a stream.
func New(r io.Reader) *Reader { return &Reader{r: r} }

// Next returns the next whole event with its blank line, or io.EOF at the end of a complete stream. The event is valid
// until the next call.
func (r *Reader) Next() (event []byte, err error) {
	for {
		if end := bytes.Index(r.buf, []byte("\n\n")); end >= 0 {
			event, r.buf = r.buf[:end+2], r.buf[end+2:]
			return event, nil
		}
		if r.err != nil {
			if errors.Is(r.err, io.EOF) && len(bytes.TrimSpace(r.buf)) > 0 {
				return nil, errPartial
			}
			return nil, r.err
		}
		if len(r.buf) > maxEvent {
			return nil, errors.New("an event is too long")
		}
		b := make([]byte, len(r.buf), len(r.buf)+readSize)
		copy(b, r.buf)
		n, err := r.r.Read(b[len(b):cap(b)])
		r.buf, r.err = b[:len(b)+n], err
	}
}

// Field returns the value of a field of an event.
func Field(event []byte, name string) (value []byte, ok bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		rest, found := bytes.CutPrefix(line, []byte(name+":"))
		if found {
			return bytes.TrimPrefix(bytes.TrimSuffix(rest, []byte("\r")), []byte(" ")), true
		}
	}
	return nil, false
}
