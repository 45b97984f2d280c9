package httpwire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/valyala/fasthttp"
)

// ErrHeadTooLarge is returned for the head of an answer that does not fit into the buffer of its reader.
var ErrHeadTooLarge = fmt.Errorf("head: %w", ErrTooLarge)

// maxInformational bounds the informational answers before an answer.
const maxInformational = 100

// ReadAnswer reads the head of an answer and returns a reader of its body, which returns io.EOF only if the body is complete.
// It skips informational answers. noBody says that the request was a HEAD request, whose answer has no body. If only the end of
// the connection ends the body, h says that the connection closes.
//
// received returns an error unless the peer has received the whole request, as Received does. It is called at the end of the
// connection if only this ends the body, which is not complete then: the peer or the network has probably failed.
func ReadAnswer(br *bufio.Reader, h *fasthttp.ResponseHeader, noBody bool, received func() error) (body io.Reader, err error) {
	for range maxInformational + 1 {
		f, err := readHead(br, h)
		if err != nil {
			return nil, err
		}
		switch status := h.StatusCode(); {
		case status == fasthttp.StatusSwitchingProtocols:
			return nil, ErrFraming
		case status < fasthttp.StatusOK:
			continue
		case noBody || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified:
			return &fixedBody{br: br}, nil
		case f.chunked:
			return newChunkedBody(br), nil
		case f.length >= 0:
			return &fixedBody{br: br, left: f.length}, nil
		}
		h.SetConnectionClose()
		return &unboundedBody{br: br, received: received}, nil
	}
	return nil, ErrFraming
}

// readHead reads one head into h. peekHead alone decides where it ends: fasthttp must have read exactly these bytes. parseStatus
// alone decides on the status: fasthttp takes 000 for 200.
func readHead(br *bufio.Reader, h *fasthttp.ResponseHeader) (f framing, err error) {
	head, err := peekHead(br)
	if err != nil {
		return f, err
	}
	size, buffered := len(head), br.Buffered()
	statusLine, fields, _ := bytes.Cut(head, []byte("\n"))
	status, old, err := parseStatus(bytes.TrimSuffix(statusLine, []byte("\r")))
	if err != nil {
		return f, err
	}
	f, err = parseFraming(fields)
	if err != nil {
		return f, err
	}
	if err := h.Read(br); err != nil {
		return f, fmt.Errorf("%w: %w", ErrFraming, err)
	}
	// HTTP/1.0 has no chunks, so other readers would take them for the body.
	if buffered-br.Buffered() != size || h.StatusCode() != status || old && f.chunked {
		return f, ErrFraming
	}
	return f, nil
}

// parseStatus returns the status in a status line without its line break, and whether its version is HTTP/1.0. Other parsers take
// other lines for other statuses. Statuses below 100 and above 599 are invalid (RFC 9110, section 15).
func parseStatus(line []byte) (status int, old bool, err error) {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	digits, reason, _ := bytes.Cut(rest, []byte(" "))
	old = string(version) == "HTTP/1.0"
	n, ok := parseLength(digits)
	switch {
	case !old && string(version) != "HTTP/1.1":
	case !ok || len(digits) != len("200") || n < 100 || n > 599:
	case bytes.IndexByte(reason, '\r') >= 0: // where some parsers end a line
	default:
		return int(n), old, nil
	}
	return 0, false, ErrFraming
}

// peekHead returns the next head without consuming it. It ends with the first blank line, which is not its first line, and all
// its lines end with CR LF: parsers differ in what they take for the end of other heads.
func peekHead(br *bufio.Reader) (head []byte, err error) {
	line := 0 // where the line begins that is not complete yet
	for need := 1; ; need = br.Buffered() + 1 {
		if _, err := br.Peek(need); err != nil {
			switch {
			case errors.Is(err, io.EOF) && br.Buffered() > 0:
				return nil, io.ErrUnexpectedEOF
			case errors.Is(err, bufio.ErrBufferFull):
				return nil, ErrHeadTooLarge
			}
			return nil, err
		}
		buffered, _ := br.Peek(br.Buffered())
		for {
			n := bytes.IndexByte(buffered[line:], '\n')
			if n < 0 {
				break
			}
			blank := n == 1
			if n == 0 || buffered[line+n-1] != '\r' || blank && line == 0 {
				return nil, ErrFraming
			}
			line += n + 1
			if blank {
				return buffered[:line], nil
			}
		}
	}
}
