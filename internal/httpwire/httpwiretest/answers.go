// Package httpwiretest holds answers of targets for the tests of those that read them.
package httpwiretest

import (
	"fmt"
	"strings"
)

// Answer is an answer that a target may break off after each of its bytes.
type Answer struct {
	Name, Raw string
	// Whole is the number of bytes from which on the answer is complete if its connection then ends in order; negative if it
	// never is.
	Whole int
	// Body is the body of the whole answer.
	Body string
}

// Cut returns the body of the answer if it is complete after n bytes and the end of its connection.
func (a Answer) Cut(n int) (body string, complete bool) {
	if a.Whole < 0 || n < a.Whole {
		return "", false
	}
	return a.Body[:len(a.Body)-(len(a.Raw)-n)], true
}

// Answers returns answers with a body, framed in all ways, sound and malformed. fields are header lines that each head has.
func Answers(fields, body string) []Answer {
	const (
		ok      = "HTTP/1.1 200 OK\r\n"
		chunked = "Transfer-Encoding: chunked\r\n"
	)
	head := ok + fields
	hints := "HTTP/1.1 103 Early Hints\r\n" + fields + "\r\n"
	size := len(body)
	length := fmt.Sprintf("Content-Length: %d\r\n", size)
	half := size / 2
	chunks := fmt.Sprintf("%x;x=y\r\n%s\r\n%x\r\n%s\r\n0\r\nX-Trailer: t\r\n\r\n", half, body[:half], size-half, body[half:])
	bare := func(s string) string { return strings.ReplaceAll(s, "\r\n", "\n") }
	framed := func(name, raw string) Answer { return Answer{name, raw, len(raw), body} }
	empty := func(name, raw string) Answer { return Answer{name, raw, len(raw), ""} }
	refused := func(name, raw string) Answer { return Answer{name, raw, -1, ""} }
	return []Answer{
		framed("length", head+length+"\r\n"+body),
		framed("length first", ok+length+fields+"\r\n"+body),
		framed("chunks", head+chunked+"\r\n"+chunks),
		{"no length", head + "\r\n" + body, len(head) + 2, body},
		framed("continue", "HTTP/1.1 100 Continue\r\n\r\n"+head+length+"\r\n"+body),
		framed("early hints", hints+head+chunked+"\r\n"+chunks),
		{"early hints, no length", hints + head + "\r\n" + body, len(hints) + len(head) + 2, body},
		empty("no content", "HTTP/1.1 204 No Content\r\n"+fields+"\r\n"),
		empty("not modified", "HTTP/1.1 304 Not Modified\r\n"+fields+length+"\r\n"),
		refused("bare line feeds", bare(head+length+"\r\n")+body),
		refused("bare line feeds, head ends in the body", bare(head+"\r\n")+"a: b\nContent-Length: 3\r\n\r\n"+body),
		refused("bare line feed before the blank line", ok+bare(fields)+"\r\nContent-Length: 3\r\n\r\n"+body),
		refused("bare blank line", head+"\nContent-Length: 3\r\n\r\n"+body),
		refused("blank lines first", "\r\n\r\n"+head+length+"\r\n"+body),
		refused("blank lines first, chunks", "\r\n\r\n"+head+chunked+"\r\n"+chunks),
		refused("blank line first", "\r\n"+head+length+"\r\n"+body),
		refused("folded line", head+"X-Fold: a\r\n Content-Length: 3\r\n\r\n"+body),
		refused("folded length", head+"Content-Length: 3\r\n 0\r\n\r\n"+body),
		refused("space before the colon", head+"Content-Length : 3\r\n\r\n"+body),
		refused("length and chunks", head+length+chunked+"\r\n"+chunks),
		refused("two lengths", head+length+length+"\r\n"+body),
		refused("other coding", head+"Transfer-Encoding: gzip, chunked\r\n\r\n"+chunks),
		refused("chunks in HTTP/1.0", strings.Replace(head, "1.1", "1.0", 1)+chunked+"\r\n"+chunks),
		refused("switching protocols", "HTTP/1.1 101 Switching Protocols\r\n"+fields+"Upgrade: x\r\n\r\n"+body),
		refused("trailer with a bare line feed", head+chunked+"\r\n"+strings.TrimSuffix(chunks, "\r\n")+"\n"),
	}
}
