package httpwire_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"github.com/comfreylink/comfreylink/internal/httpwire"
	"github.com/comfreylink/comfreylink/internal/httpwire/httpwiretest"
)

// Guards against an answer that is accepted here and that another parser reads as a different one.
func FuzzReadAnswer(f *testing.F) {
	for _, a := range httpwiretest.Answers("X-A: a\r\n", "whole") {
		f.Add(a.Raw)
		f.Add(a.Raw[:len(a.Raw)-1])
	}
	for _, l := range httpwiretest.StatusLines() {
		f.Add(l.Raw + "Content-Length: 5\r\n\r\nwhole")
	}
	f.Fuzz(func(t *testing.T, raw string) {
		c := qt.New(t)
		status, body, err := readAnswer(raw)
		if err != nil {
			return
		}
		if otherStatus, other, err := readWithNet(raw); err == nil {
			c.Assert(otherStatus, qt.Equals, status, qt.Commentf("net/http"))
			c.Assert(other, qt.Equals, body, qt.Commentf("net/http"))
		}
		var r fasthttp.Response
		if r.ReadLimitBody(bufio.NewReader(strings.NewReader(raw)), 0) == nil {
			c.Assert(r.StatusCode(), qt.Equals, status, qt.Commentf("fasthttp"))
			c.Assert(string(r.Body()), qt.Equals, body, qt.Commentf("fasthttp"))
		}
	})
}

func readAnswer(raw string) (status int, body string, err error) {
	var h fasthttp.ResponseHeader
	r, err := httpwire.ReadAnswer(bufio.NewReader(strings.NewReader(raw)), &h, false, func() error { return nil })
	if err != nil {
		return 0, "", err
	}
	data, err := io.ReadAll(r)
	return h.StatusCode(), string(data), err
}

func readWithNet(raw string) (status int, body string, err error) {
	br := bufio.NewReader(strings.NewReader(raw))
	for status = http.StatusContinue; status/100 == 1; { // net/http also returns 000 and 099
		r, err := http.ReadResponse(br, nil)
		if err != nil {
			return 0, "", err
		}
		status = r.StatusCode
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return 0, "", err
		}
		body = string(data)
	}
	return status, body, nil
}
