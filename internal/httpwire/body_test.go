package httpwire_test

import (
	"errors"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/internal/httpwire"
)

// endless is a body that does not end.
type endless struct{ sent int }

func (e *endless) Read(p []byte) (int, error) {
	e.sent += len(p)
	return len(p), nil
}

// Guards against bodies without end that together hold more memory than the process may use, although each is within its
// limit, and against memory that stays in use after them.
func TestMemoryLimitBoundsAllBodies(t *testing.T) {
	c := qt.New(t)
	const limit, bodyLimit = 1 << 20, 400 << 10
	m := httpwire.NewMemoryLimit(limit)
	var releases []func()
	full := false
	for range 10 {
		body := &endless{}
		_, release, err := m.ReadAll(body, bodyLimit)
		full = full || errors.Is(err, httpwire.ErrNoMemory)
		c.Assert(full || errors.Is(err, httpwire.ErrTooLarge), qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(body.sent <= 2*bodyLimit, qt.IsTrue)
		releases = append(releases, release)
	}
	c.Assert(full, qt.IsTrue)
	for _, release := range releases {
		release()
	}
	got, release, err := m.ReadAll(strings.NewReader("whole"), bodyLimit)
	c.Assert(err, qt.IsNil)
	c.Assert(string(got), qt.Equals, "whole")
	release()
}

// Guards against a body that is cut at its limit and looks complete.
func TestLimitIsNotTheEnd(t *testing.T) {
	c := qt.New(t)
	_, err := io.ReadAll(httpwire.Limit(strings.NewReader("abcd"), 3))
	c.Assert(errors.Is(err, httpwire.ErrTooLarge), qt.IsTrue)
}
