// Package httpwire implements HTTP/1.1 framing, and server and client connections for a proxy. fasthttp parses the heads
// of messages. This package decides on framing and on the end and the reuse of connections itself, because a proxy must
// know whether a peer has disconnected and whether an answer is complete.
package httpwire

import (
	"bytes"
	"errors"
	"iter"
	"strings"
)

// ErrFraming is returned for a head whose body length is ambiguous or malformed.
var ErrFraming = errors.New("ambiguous message framing")

// hopByHop are the headers that are not passed on: those for one connection only and those that this package sets itself.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// AppendHeader appends one header line.
func AppendHeader[T string | []byte](b []byte, name, value T) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// AppendHeaders appends the end-to-end headers of all, except for those in skip. connection is the value of the Connection
// header, which may name further hop-by-hop headers.
func AppendHeaders(b []byte, all iter.Seq2[[]byte, []byte], connection []byte, skip []string) []byte {
	var named []string
	if len(connection) > 0 {
		named = strings.Split(string(connection), ",")
	}
	for name, value := range all {
		if contains(hopByHop, name) || contains(skip, name) || contains(named, name) {
			continue
		}
		b = AppendHeader(b, name, value)
	}
	return b
}

func contains(names []string, name []byte) bool {
	for _, n := range names {
		if len(name) == len(strings.TrimSpace(n)) && strings.EqualFold(strings.TrimSpace(n), string(name)) {
			return true
		}
	}
	return false
}

// framing says how to find the end of a body.
type framing struct {
	chunked bool
	// length is the value of Content-Length, or -1 if there is none.
	length int64
}

// parseFraming reads the framing from the raw header lines of a head. It rejects conflicting lines, which fasthttp resolves
// silently: two peers that resolve them in different ways see different messages (request smuggling).
func parseFraming(raw []byte) (f framing, err error) {
	f.length = -1
	lengths, encodings := 0, 0
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 {
			continue
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t\r") {
			return f, ErrFraming
		}
		value = bytes.TrimSpace(value)
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
			if f.length, ok = parseLength(value); !ok {
				return f, ErrFraming
			}
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			encodings++
			if !bytes.EqualFold(value, []byte("chunked")) {
				return f, ErrFraming
			}
			f.chunked = true
		}
	}
	if lengths+encodings > 1 {
		return f, ErrFraming
	}
	return f, nil
}

// maxLengthDigits keeps a parsed length within 63 bits.
const maxLengthDigits = 18

func parseLength(value []byte) (n int64, ok bool) {
	if len(value) == 0 || len(value) > maxLengthDigits {
		return 0, false
	}
	for _, c := range value {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + int64(c-'0')
	}
	return n, true
}
