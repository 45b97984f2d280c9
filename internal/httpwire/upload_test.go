package httpwire_test

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a part of a request's body that is served as the whole body because its caller has reset or ended the connection,
// also if the write of the interim answer has taken the error of the connection.
func TestCutUploads(t *testing.T) {
	const head = "POST /a HTTP/1.1\r\nHost: h\r\n"
	for name, request := range map[string]string{
		"length":          head + "Content-Length: 9\r\n\r\nabc",
		"chunks":          head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"expected length": head + "Expect: 100-continue\r\nContent-Length: 9\r\n\r\nabc",
		"expected chunks": head + "Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"end of chunks":   head + "Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n",
	} {
		for _, reset := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				c := qt.New(t)
				e := echo{seen: make(chan string, 32)}
				address, s := startServer(c, e)
				for range 16 { // the reset comes before the interim answer, or after it
					conn, err := net.Dial("tcp", address)
					c.Assert(err, qt.IsNil)
					_, err = io.WriteString(conn, request)
					c.Assert(err, qt.IsNil)
					if reset {
						_ = conn.(*net.TCPConn).SetLinger(0)
					}
					_ = conn.Close()
				}
				time.Sleep(20 * time.Millisecond)
				for deadline := time.Now().Add(3 * time.Second); s.Active() > 0 && time.Now().Before(deadline); {
					time.Sleep(time.Millisecond)
				}
				c.Assert(s.Active(), qt.Equals, 0)
				c.Assert(e.seen, qt.HasLen, 0)
			})
		}
	}
}
