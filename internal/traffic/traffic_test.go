package traffic_test

import (
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/internal/traffic"
)

// Guards against bytes that are counted in the wrong direction or not at all.
func TestBothDirectionsAreCounted(t *testing.T) {
	c := qt.New(t)
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	var counter traffic.Counter
	counted := counter.Conn(near)
	go func() {
		_, _ = io.ReadFull(far, make([]byte, 5))
		_, _ = far.Write([]byte("abc"))
	}()
	_, err := counted.Write([]byte("hello"))
	c.Assert(err, qt.IsNil)
	_, err = io.ReadFull(counted, make([]byte, 3))
	c.Assert(err, qt.IsNil)
	c.Assert(counter.Sent(), qt.Equals, int64(5))
	c.Assert(counter.Received(), qt.Equals, int64(3))
}
