package httpwire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"sync/atomic"
)

// ErrTooLarge is returned for a body that exceeds its size limit.
var ErrTooLarge = errors.New("body too large")

// ErrNoMemory is returned for a body that would exceed the MemoryLimit with which it is read.
var ErrNoMemory = errors.New("bodies in progress hold too much memory")

// maxTrailerLines bounds the trailer of a chunked body.
const maxTrailerLines = 16

// chunkedBody reads a chunked body with its trailer. It returns io.EOF only after the trailer, and io.ErrUnexpectedEOF if the
// connection ends earlier.
type chunkedBody struct {
	br     *bufio.Reader
	chunks io.Reader
	ended  bool
}

func newChunkedBody(br *bufio.Reader) *chunkedBody {
	return &chunkedBody{br: br, chunks: httputil.NewChunkedReader(br)}
}

func (c *chunkedBody) Read(p []byte) (n int, err error) {
	if c.ended {
		return 0, io.EOF
	}
	n, err = c.chunks.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if err := c.readTrailer(); err != nil {
		return n, err
	}
	c.ended = true
	return n, io.EOF
}

func (c *chunkedBody) readTrailer() error {
	for range maxTrailerLines {
		line, err := c.br.ReadSlice('\n')
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if !bytes.HasSuffix(line, []byte("\r\n")) {
			return ErrFraming
		}
		if len(line) == len("\r\n") {
			return nil
		}
	}
	return ErrFraming
}

// fixedBody reads a body of known length. It returns io.ErrUnexpectedEOF if the connection ends earlier.
type fixedBody struct {
	br   *bufio.Reader
	left int64
}

func (f *fixedBody) Read(p []byte) (n int, err error) {
	if f.left == 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > f.left {
		p = p[:f.left]
	}
	n, err = f.br.Read(p)
	f.left -= int64(n)
	if errors.Is(err, io.EOF) {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// unboundedBody reads a body that ends with its connection. If the peer has not received the whole request by then, it returns
// io.ErrUnexpectedEOF. It repeats its error: a read after that of a reset would find the end of the connection.
type unboundedBody struct {
	br       *bufio.Reader
	received func() error
	err      error
}

func (u *unboundedBody) Read(p []byte) (n int, err error) {
	if u.err != nil {
		return 0, u.err
	}
	n, err = u.br.Read(p)
	if errors.Is(err, io.EOF) {
		if cause := u.received(); cause != nil {
			err = fmt.Errorf("%w: the request was not received: %w", io.ErrUnexpectedEOF, cause)
		}
	}
	u.err = err
	return n, err
}

// MemoryLimit bounds the memory of bodies that are read with it, all together. It is safe for concurrent use.
type MemoryLimit struct{ left atomic.Int64 }

// NewMemoryLimit returns a limit in bytes.
func NewMemoryLimit(bytes int64) *MemoryLimit {
	m := new(MemoryLimit)
	m.left.Store(bytes)
	return m
}

// Reservation is the part of a MemoryLimit that one answer uses. It is not safe for concurrent use.
type Reservation struct {
	limit *MemoryLimit
	bytes int64
}

// Reserve begins a reservation of 0 bytes.
func (m *MemoryLimit) Reserve() *Reservation { return &Reservation{limit: m} }

// Grow adds bytes to the reservation. It returns ErrNoMemory if other reservations leave too little memory.
func (r *Reservation) Grow(bytes int) error {
	r.bytes += int64(bytes)
	if r.limit.left.Add(-int64(bytes)) < 0 {
		return ErrNoMemory
	}
	return nil
}

// Release gives all bytes of the reservation back, also those of a Grow that failed.
func (r *Reservation) Release() {
	r.limit.left.Add(r.bytes)
	r.bytes = 0
}

// firstBodyBytes is the memory with which a body begins.
const firstBodyBytes = 2 << 10

// ReadAll reads a body of at most limit bytes. It returns ErrTooLarge if the body is longer, and ErrNoMemory if other bodies
// leave too little memory for it. The memory counts as used until release is called.
func (m *MemoryLimit) ReadAll(r io.Reader, limit int) (body []byte, release func(), err error) {
	reserved := m.Reserve()
	release = reserved.Release
	for {
		if len(body) > limit {
			return nil, release, ErrTooLarge
		}
		if len(body) == cap(body) {
			size := max(firstBodyBytes, 2*cap(body))
			if err := reserved.Grow(size); err != nil {
				return nil, release, err
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, release, nil
		}
		if err != nil {
			return nil, release, err
		}
	}
}

// Limit returns a reader of a body that returns ErrTooLarge after limit bytes.
func Limit(body io.Reader, limit int64) io.Reader { return &limitedBody{body: body, left: limit} }

type limitedBody struct {
	body io.Reader
	left int64
}

func (l *limitedBody) Read(p []byte) (n int, err error) {
	if l.left <= 0 {
		return 0, ErrTooLarge
	}
	n, err = l.body.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	return n, err
}

// ReadAll reads a body of at most limit bytes. It returns ErrTooLarge if the body is longer.
func ReadAll(r io.Reader, limit int) (body []byte, err error) {
	body, err = io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(body) > limit {
		return nil, ErrTooLarge
	}
	return body, nil
}
