package eventstream_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/internal/eventstream"
)

// anyMemory grants everything.
type anyMemory struct{}

func (anyMemory) Grow(int) error { return nil }

// Guards against events that are returned in parts, and against a stream that ends within an event but reads as complete.
func TestReader(t *testing.T) {
	c := qt.New(t)
	const whole = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for _, test := range []struct {
		stream string
		last   error
	}{{whole, io.EOF}, {whole + "\n", io.EOF}, {whole + "id: 3\nda", nil}} {
		r := eventstream.New(iotest.OneByteReader(strings.NewReader(test.stream)), anyMemory{})
		for _, want := range []string{"a", "b"} {
			event, err := r.Next()
			c.Assert(err, qt.IsNil)
			data, ok := eventstream.Field(event, "data")
			c.Assert(ok, qt.IsTrue)
			c.Assert(string(data), qt.Equals, want)
		}
		_, err := r.Next()
		c.Assert(err, qt.IsNotNil)
		c.Assert(errors.Is(err, io.EOF), qt.Equals, test.last != nil)
	}
}

// dripping is a stream without the end of an event, of which each read returns few bytes.
type dripping struct{}

func (dripping) Read(p []byte) (int, error) { return copy(p, "yyyyyyyyyyyyyyyy"), nil }

// Guards against a stream in small pieces without the end of an event, for which every piece costs a copy of all before it.
func TestEventWithoutEndIsNotCopiedAgain(t *testing.T) {
	c := qt.New(t)
	allocated := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			_, err := eventstream.New(dripping{}, anyMemory{}).Next()
			c.Assert(err, qt.IsNotNil)
		}
	}).AllocedBytesPerOp()
	c.Assert(allocated < 16<<20, qt.IsTrue, qt.Commentf("%d bytes for an event of 1 MiB", allocated))
}

// Guards against an event that is taken for the next one of a stream although it is an earlier one, none at all or an error.
func TestFollows(t *testing.T) {
	for _, test := range []struct {
		event, last string
		want        bool
	}{
		{"id: 3\ndata: c\n\n", "2", true},
		{"id: 10\ndata: c\n\n", "9", true},
		{"id: 2\ndata: b\n\n", "2", false},
		{"id: 1\ndata: a\n\n", "2", false},
		{"event: error\ndata: x\n\n", "2", false},
		{"it failed\n\n", "2", false},
		{"id: b\ndata: c\n\n", "a", true},
		{"id: a\ndata: c\n\n", "a", false},
	} {
		qt.Check(t, eventstream.Follows([]byte(test.event), test.last), qt.Equals, test.want, qt.Commentf("%q", test.event))
	}
	qt.Check(t, eventstream.Comment([]byte(": wait\n\n")), qt.IsTrue)
	qt.Check(t, eventstream.Comment([]byte(": wait\nid: 3\n\n")), qt.IsFalse)
}
