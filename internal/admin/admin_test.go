package admin_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/admin"
	"github.com/comfreylink/comfreylink/internal/traffic"
	"github.com/comfreylink/comfreylink/pkg/config"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

func TestMain(m *testing.M) {
	// fasthttp has one clock goroutine for the whole process, and a stopped server's pool ends after a sleep of 10 s.
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}

// fixture is a running server with the values that its functions return.
type fixture struct {
	t        *testing.T
	base     string
	client   *http.Client
	metrics  *admin.Metrics
	notReady []string
	drains   int
}

type partState struct {
	Key  config.Key
	Full bool
}

func start(t *testing.T) *fixture {
	f := &fixture{t: t, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	var link traffic.Counter
	near, far := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	_, err := link.Conn(near).Write([]byte("ping"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, near.Close(), qt.IsNil)
	metrics, endMetrics, err := admin.NewMetrics(admin.Observed{
		ConfigRevision: func() ids.Revision { return 17 }, OwnedSlots: func() int { return 5 },
		Links: func() map[string]*traffic.Counter { return map[string]*traffic.Counter{"log": &link} },
	})
	qt.Assert(t, err, qt.IsNil)
	f.metrics = metrics
	server, cleanup, err := admin.New(admin.Config{
		Address: "127.0.0.1:0", Instance: "entry-01", Metrics: metrics, Logger: zap.NewNop(),
		Parts: []admin.Part{
			{
				Name:   "owner",
				Status: func() any { return partState{Key: "secret"} },
				Dump:   func() any { return partState{Key: "secret", Full: true} },
			},
			admin.ConfigPart(catalog(t).Current),
			{Name: "faulty", Status: func() any { return nil }, Dump: func() any { panicWhen(f.drains > 0); return nil }},
		},
		NotReady: func() []string { return f.notReady },
		Drain:    func() { f.drains++ },
	})
	qt.Assert(t, err, qt.IsNil)
	f.base = "http://" + server.Address()
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		qt.Check(t, <-ended, qt.IsNil)
		cleanup()
		endMetrics()
	})
	return f
}

func panicWhen(faulty bool) {
	if faulty {
		panic("fault in a part")
	}
}

func catalog(t *testing.T) *config.Catalog {
	c := config.New()
	for i, p := range []record.Publish{
		{Object: "template/t", Base: -1, Document: json.RawMessage(`{"services":[{"name":"s","pool":"p","deadline":"1s"}],
			"program":{"maxTurns":1,"idleTimeout":"1m","defaultDeadline":"1m"}}`)},
		{Object: "workspace/w", Base: -1, Document: json.RawMessage(`{"templates":["t"],"rate":1,"burst":1,"budget":1,"weight":1,
			"keys":[{"label":"k","sha256":"` + config.HashKey("secret").String() + `"}]}`)},
	} {
		qt.Assert(t, c.Apply(ids.Position{Offset: ids.Offset(i)}, "test", &p), qt.IsNil)
	}
	return c
}

func (f *fixture) do(method, path string) (status int, body string) {
	req, err := http.NewRequest(method, f.base+path, nil)
	qt.Assert(f.t, err, qt.IsNil)
	resp, err := f.client.Do(req)
	qt.Assert(f.t, err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	qt.Assert(f.t, err, qt.IsNil)
	return resp.StatusCode, string(data)
}

// Guards against wrong responses to load balancers and operators, secrets in a dump, and a panic in one part that ends the
// daemon.
func TestServer(t *testing.T) {
	f := start(t)
	check := func(method, path string, status int, want string) {
		t.Helper()
		got, body := f.do(method, path)
		qt.Check(t, got, qt.Equals, status)
		qt.Check(t, body, qt.Equals, want+"\n")
		qt.Check(t, body, qt.Not(qt.Contains), "secret")
		qt.Check(t, body, qt.Not(qt.Contains), config.HashKey("secret").String())
	}
	check("GET", "/health", 200, `{"up":true}`)
	check("GET", "/ready", 200, `{"ready":true,"reasons":[]}`)
	f.notReady = []string{"configuration is stale"}
	check("GET", "/ready", 503, `{"ready":false,"reasons":["configuration is stale"]}`)
	check("GET", "/status", 200, `{"instance":"entry-01","parts":[{"name":"owner","state":{"Key":"[redacted]","Full":false}},`+
		`{"name":"config","state":{"revision":1,"templates":1,"workspaces":1}},{"name":"faulty","state":null}]}`)
	check("GET", "/dump", 200, `{"instance":"entry-01","parts":[{"name":"owner","state":{"Key":"[redacted]","Full":true}},`+
		`{"name":"config","state":[{"object":"template/t","revision":0},{"object":"workspace/w","revision":1}]},{"name":"faulty","state":null}]}`)
	check("GET", "/drain", 405, `{"error":{"code":"wrongMethod","message":"the path allows POST"}}`)
	check("POST", "/drain", 202, `{"draining":true}`)
	qt.Check(t, f.drains, qt.Equals, 1)
	check("GET", "/dump", 500, `{"error":{"code":"internalError","message":"a fault in the daemon; see its log"}}`)
	check("GET", "/health", 200, `{"up":true}`)
	check("GET", "/other", 404, `{"error":{"code":"unknownPath","message":"there is no such path"}}`)
}

// Guards against a metric whose name, unit or label differs from what dashboards use.
func TestMetrics(t *testing.T) {
	f := start(t)
	f.metrics.RequestDone("/v1/chat/completions", 200, "osu", 300*time.Millisecond)
	f.metrics.Refused("rateExceeded")
	f.metrics.Appended("slot-007", time.Millisecond, nil)
	f.metrics.QueueWaited("design-brain", time.Millisecond)
	f.metrics.ProgramEnded("design", time.Minute)
	f.metrics.PeerCalled("acquire", time.Millisecond, errors.New("closed"))
	f.metrics.EntrySkipped(ids.FleetStream)
	status, body := f.do("GET", "/metrics")
	qt.Assert(t, status, qt.Equals, 200)
	for _, line := range []string{
		`http_server_request_duration_seconds_bucket{cloud_availability_zone="osu",http_response_status_code="200",http_route="/v1/chat/completions",le="0.5"} 1`,
		`http_server_request_duration_seconds_bucket{cloud_availability_zone="osu",http_response_status_code="200",http_route="/v1/chat/completions",le="0.25"} 0`,
		`comfreylink_request_refused_total{comfreylink_refusal_code="rateExceeded"} 1`,
		`comfreylink_log_append_duration_seconds_count{comfreylink_failed="false",comfreylink_stream_kind="slot"} 1`,
		`comfreylink_dispatch_queue_wait_seconds_count{comfreylink_pool="design-brain"} 1`,
		`comfreylink_program_duration_seconds_sum{comfreylink_template="design"} 60`,
		`rpc_client_call_duration_seconds_count{comfreylink_failed="true",rpc_method="acquire"} 1`,
		`comfreylink_log_entry_skipped_total{comfreylink_stream_kind="fleet"} 1`,
		`comfreylink_config_revision 17`,
		`comfreylink_slot_owned 5`,
		`comfreylink_network_io_bytes_total{comfreylink_link="log",network_io_direction="transmit"} 4`,
	} {
		qt.Check(t, body, qt.Contains, "\n"+line+"\n")
	}
}
