package httpwire

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"
)

// ErrTooLarge is returned for a body that exceeds its size limit.
var ErrTooLarge = errors.New("body too large")

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
		if len(line) <= 2 {
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
