package logstore_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"github.com/comfreylink/comfreylink/standin/logstore"
)

// Guards against keeping too many or too few entries, and against offsets that restart when all entries have expired.
func TestRetention(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	s := logstore.NewStore(logstore.Options{Retention: 10 * time.Second, MaxEntries: 3})
	for i := range 5 {
		s.Append(start.Add(time.Duration(i)*time.Second), "s", []byte{byte(i)})
	}
	p, _ := s.Read(start.Add(4*time.Second), "s", 0, 100)
	c.Assert([]int64{p.Oldest, p.Next, int64(len(p.Entries))}, qt.DeepEquals, []int64{2, 5, 3})
	p, _ = s.Read(start.Add(13*time.Second), "s", 0, 100)
	c.Assert([]int64{p.Oldest, p.Next}, qt.DeepEquals, []int64{3, 5})
	p, _ = s.Read(start.Add(time.Hour), "s", 0, 100)
	c.Assert([]int64{p.Oldest, p.Next}, qt.DeepEquals, []int64{5, 5})
	offset, _ := s.Append(start.Add(time.Hour), "s", nil)
	c.Assert(offset, qt.Equals, int64(5))
}

// Guards against a fault that has no effect when it is set over HTTP, and against one that clears another fault.
func TestFaultsOverHTTP(t *testing.T) {
	c := qt.New(t)
	_, address, stop, err := logstore.Start(logstore.Options{})
	c.Assert(err, qt.IsNil)
	defer stop()
	post := func(path, body string) (status int, answer string) {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + address + path)
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetBodyString(body)
		c.Assert(fasthttp.Do(req, resp), qt.IsNil)
		return resp.StatusCode(), string(resp.Body())
	}
	post("/faults", `{"failStream":"bad"}`)
	_, answer := post("/faults", `{"delayMs":1}`)
	c.Assert(answer, qt.Equals, `{"outage":false,"appendOutage":false,"delayMs":1,"loseAnswers":0,"failStream":"bad"}`)
	status, _ := post("/v1/streams/bad/entries", "x")
	c.Assert(status, qt.Equals, fasthttp.StatusServiceUnavailable)
	_, answer = post("/v1/streams/good/entries", "x")
	c.Assert(answer, qt.Equals, `{"offset":0}`)
	post("/faults", `{"outage":true}`)
	status, _ = post("/v1/streams/good/entries", "x")
	c.Assert(status, qt.Equals, fasthttp.StatusServiceUnavailable)
	status, _ = post("/faults", `{`)
	c.Assert(status, qt.Equals, fasthttp.StatusBadRequest)
}

// Guards against a rate limit that accepts more or fewer appends than configured.
func TestAppendRate(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := logstore.NewStore(logstore.Options{AppendsPerSecond: 2})
	accepted := 0
	for i := range 30 { // 2.9 seconds, with a burst of 2 at the start
		if _, ok := s.Append(now.Add(time.Duration(i)*100*time.Millisecond), "s", nil); ok {
			accepted++
		}
	}
	c.Assert(accepted, qt.Equals, 7)
}
