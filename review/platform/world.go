package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	gatewayCommand  = "target/comfreylink gateway" // as in deploy/system.toml
	gatewayTemplate = "deploy/daemon.ini"
	settingsName    = "COMFREYLINK_NODE_FILE"

	apiKey    = "3fexd9dnn2ctnfzs989a"
	tenant    = "hule930"
	host      = "ficu95.example"
	engine    = "huvo11a" // service of the streams
	plain     = "wuno96b" // service of the other requests
	startTime = 10 * time.Second
	// stableWindow is StableWindowMs of the sites.
	stableWindow = 3 * time.Second
)

// world holds the processes of one case: a store, workers and gateways.
type world struct {
	dir   string // for the settings and logs of this run
	exe   string // this program
	store string // address
	began time.Time

	mu       sync.Mutex
	record   *os.File
	cmds     []*exec.Cmd
	running  sync.WaitGroup
	closing  bool
	runs     []run
	gateways []*gateway
}

// run is a run of a request at a worker.
type run struct {
	worker, id, path, body string
	at                     time.Time
	crashed                time.Time // zero if the worker did not crash
	ended                  time.Time
	whole                  bool // it ended by itself
}

// gateway is one instance of the gateway. Each has its own loopback address, so that ports are the same at all.
type gateway struct {
	name, zone, ip string
	front, ready   string
	settings       string

	mu      sync.Mutex
	cmd     *exec.Cmd
	started time.Time
	stopped time.Time // when SIGTERM was sent to the current process
	ended   chan struct{}
}

func newWorld(dir, caseDir string) (w *world, err error) {
	exe, err := os.Executable()
	if err != nil {
		return nil, err
	}
	w = &world{dir: dir, exe: exe, began: time.Now()}
	if w.record, err = os.Create(filepath.Join(caseDir, "record.txt")); err != nil {
		return nil, err
	}
	address, err := freeAddress("127.0.0.1")
	if err != nil {
		return nil, err
	}
	w.store = address
	if _, err = w.startProcess("store", exe, []string{"store", "--listen", address}, nil, nil); err != nil {
		return nil, err
	}
	return w, w.await(func() bool {
		c, err := net.Dial("tcp", address)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	})
}

// await waits until a condition holds.
func (w *world) await(ok func() bool) error {
	for deadline := time.Now().Add(startTime); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return errors.New("a process did not start in time")
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{time.Since(w.began).Seconds()}, args...)...)
}

func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// startProcess starts a process. lines gets each line of its standard output; without it, the output goes to a file.
func (w *world) startProcess(name, path string, args, env []string, lines func(line []byte)) (cmd *exec.Cmd, err error) {
	cmd = exec.Command(path, args...)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8"}, env...)
	output, err := os.OpenFile(filepath.Join(w.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer output.Close()
	cmd.Stderr = output
	var out io.ReadCloser
	if lines == nil {
		cmd.Stdout = output
	} else if out, err = cmd.StdoutPipe(); err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.cmds = append(w.cmds, cmd)
	w.mu.Unlock()
	w.running.Go(func() {
		if out != nil {
			for s := bufio.NewScanner(out); s.Scan(); {
				lines(s.Bytes())
			}
		}
		_ = cmd.Wait()
	})
	return cmd, nil
}

// close ends all processes that the world has started.
func (w *world) close() {
	w.mu.Lock()
	w.closing = true
	cmds := w.cmds
	w.mu.Unlock()
	for _, cmd := range cmds {
		_ = cmd.Process.Kill() // has no effect on a process that has ended
	}
	w.running.Wait()
	_ = w.record.Close()
}

// startWorker starts a worker and restarts it some seconds after each crash, at its address. id returns its id at the nth
// start.
func (w *world) startWorker(id func(start int) string, service string, flags ...string) error {
	address, err := freeAddress("127.0.0.1")
	if err != nil {
		return err
	}
	return w.startWorkerAt(address, 1, id, service, flags)
}

// workerRestart is the time between a crash of a worker and its next start.
const workerRestart = 2000 * time.Millisecond

func (w *world) startWorkerAt(address string, start int, id func(int) string, service string, flags []string) error {
	name := id(start)
	args := append([]string{"worker", "--id", name, "--listen", address, "--store", w.store, "--service", service, "--zone", "osu"}, flags...)
	crashed := func() {
		time.Sleep(workerRestart)
		w.mu.Lock()
		closing := w.closing
		w.mu.Unlock()
		if closing {
			return
		}
		if id(start+1) != name {
			_ = putKeyed(w.store, "keyed.servers", name, nil) // the entry of the old id has lapsed
		}
		w.note("worker %s starts at the address of %s", id(start+1), name)
		_ = w.startWorkerAt(address, start+1, id, service, flags)
	}
	_, err := w.startProcess("worker-"+name, w.exe, args, nil, func(line []byte) {
		var e ranEvent
		if json.Unmarshal(line, &e) != nil {
			return
		}
		w.applyRunEvent(e)
		if e.What == "crashes" {
			go crashed()
		}
	})
	return err
}

func (w *world) applyRunEvent(e ranEvent) {
	w.note("worker %s %s request %s %s (%d bytes)%s", e.Worker, e.What, e.ID, e.Path, len(e.Body), map[bool]string{true: " whole"}[e.Whole])
	w.mu.Lock()
	defer w.mu.Unlock()
	if e.What == "runs" {
		w.runs = append(w.runs, run{worker: e.Worker, id: e.ID, path: e.Path, body: e.Body, at: time.Now()})
		return
	}
	for i := len(w.runs) - 1; i >= 0; i-- {
		r := &w.runs[i]
		if r.id != e.ID || r.worker != e.Worker {
			continue
		}
		if r.ended = time.Now(); e.What == "crashes" {
			r.crashed = r.ended
		}
		r.whole = e.Whole
		return
	}
}

// runsOf returns the runs of a request.
func (w *world) runsOf(id string) (l []run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		if r.id == id {
			l = append(l, r)
		}
	}
	return l
}

// publish writes the configuration of the operator.
func (w *world) publish(retentionS float64) error { return w.publishLimit(retentionS, 158) }

// publishLimit writes a configuration with a limit of the tenant's requests a second, and a burst of as many.
func (w *world) publishLimit(retentionS, ratePerS float64) error {
	route := func(name, kind, service string, timeoutMs, attempts int, retained bool) map[string]any {
		return map[string]any{
			"Name": name, "Host": host, "PathPrefix": "/" + name + "/", "Kind": kind, "TimeoutMs": timeoutMs, "TargetLatencyMs": 250,
			"Priority": 0, "Service": service, "MaxAttempts": attempts, "Retained": retained, "RetentionS": retentionS, "Public": false,
			"Sticky": retained, "Resumable": false, "GapTargetMs": 150,
		}
	}
	data, err := json.Marshal(map[string]any{
		"Version": 1,
		"Routes": []any{
			route("chat", "stream", engine, 3000, 2, true), route("print", "unsafe", plain, 6000, 2, false),
		},
		"Services": []any{
			map[string]any{"Name": engine, "HealthPath": "/health", "MaxConns": 282, "Engine": map[string]any{
				"Slots": 8, "KvCapacityTokens": 90883, "TokensPerEvent": 14,
			}},
			map[string]any{"Name": plain, "HealthPath": "/health", "MaxConns": 208},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": tenant, "ApiKeys": []string{apiKey}, "Priority": 1, "RatePerS": ratePerS, "Burst": ratePerS}},
	})
	if err != nil {
		return err
	}
	return putKeyed(w.store, "keyed.op", "config", data)
}

// zones are the availability zones; the gateways are spread over them.
var zones = []string{"osu", "tema"}

// addGateway starts a gateway and waits until it is ready.
func (w *world) addGateway(number int) (g *gateway, err error) {
	ip := fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, 1+os.Getpid()/200%250, 10+number)
	zone := zones[(number-1)%len(zones)]
	g = &gateway{name: fmt.Sprintf("front-%s-%d", zone, number), zone: zone, ip: ip}
	var relay string
	for _, address := range []*string{&g.front, &g.ready, &relay} {
		if *address, err = freeAddress(ip); err != nil {
			return nil, err
		}
	}
	g.settings = filepath.Join(w.dir, g.name+".settings")
	if err := g.writeSettings(relay, w.store); err != nil {
		return nil, err
	}
	w.gateways = append(w.gateways, g)
	return g, w.startGateway(g)
}

// writeSettings fills in the template of the deploy file, as the platform does.
func (g *gateway) writeSettings(relay, store string) error {
	template, err := os.ReadFile(gatewayTemplate)
	if err != nil {
		return err
	}
	_, relayPort, _ := net.SplitHostPort(relay)
	text := strings.NewReplacer(
		"{{Node}}", g.name, "{{Zone}}", g.zone, "{{Ip}}", g.ip, "{{Listen.Front}}", g.front, "{{Listen.Ready}}", g.ready,
		"{{InternalPorts.1}}", relayPort, "{{Limits.MemoryMb}}", "154", "{{Bounds.GraceS}}", "8", "{{Bounds.RevokeMs}}", "5000",
		"{{Bounds.DrainMs}}", "2000", "{{Provider.Address}}", store, "{{Provider.parts}}", "12",
	).Replace(string(template))
	if i := strings.Index(text, "{{"); i >= 0 {
		return fmt.Errorf("the template has a placeholder that is not known here: %s", text[i:min(i+40, len(text))])
	}
	return os.WriteFile(g.settings, []byte(text), 0o600)
}

// startGateway starts the process of a gateway and waits until it is ready.
func (w *world) startGateway(g *gateway) error {
	words := strings.Fields(gatewayCommand)
	cmd, err := w.startProcess(g.name, words[0], words[1:], []string{settingsName + "=" + g.settings}, nil)
	if err != nil {
		return err
	}
	g.mu.Lock()
	g.cmd, g.started, g.stopped, g.ended = cmd, time.Now(), time.Time{}, make(chan struct{})
	ended := g.ended
	g.mu.Unlock()
	w.note("gateway %s starts", g.name)
	w.running.Go(func() {
		for cmd.Process.Signal(syscall.Signal(0)) == nil && !w.isClosing() {
			time.Sleep(5 * time.Millisecond)
		}
		close(ended)
		w.note("the process of gateway %s has ended", g.name)
	})
	return w.await(g.isReady)
}

func (w *world) isClosing() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closing
}

// isReady asks the gateway as the platform does.
func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get("http://" + g.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// signal sends a signal to the process of a gateway.
func (w *world) signal(g *gateway, s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s == syscall.SIGTERM {
		g.stopped = time.Now()
	}
	err := g.cmd.Process.Signal(s)
	w.note("gateway %s gets %v (%v)", g.name, s, err)
}

// inTouch reports whether the gateway's process has run without disruption for the stable window.
func (g *gateway) inTouch(at time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return at.Sub(g.started) > stableWindow && g.stopped.IsZero()
}

func (g *gateway) startedAt() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.started
}

// answer is what a client got for one request.
type answer struct {
	id       string
	gateway  *gateway
	sent     time.Time
	status   int // 0 if there was no answer
	body     string
	complete bool
	retry    time.Duration
	err      error
}

// send sends a request on a new connection and reads its answer.
func (w *world) send(g *gateway, id, path, body string, wait time.Duration, headers map[string]string) (a answer) {
	a = answer{id: id, gateway: g, sent: time.Now()}
	defer func() {
		note := fmt.Sprintf("client: request %s %s at %s: status %d, complete %v", id, path, g.name, a.status, a.complete)
		if a.err != nil {
			note += ", " + a.err.Error()
		}
		if a.status >= http.StatusBadRequest {
			note += ", " + strings.TrimSpace(a.body)
		}
		w.note("%s, after %d ms", note, time.Since(a.sent).Milliseconds())
	}()
	conn, err := net.DialTimeout("tcp", g.front, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(wait))
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n", path, host, id, wait.Milliseconds(), apiKey)
	for k, v := range headers {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	w.note("client: sends request %s %s to %s", id, path, g.name)
	if _, a.err = conn.Write(b.Bytes()); a.err != nil {
		return a
	}
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		a.err = err
		return a
	}
	defer r.Body.Close()
	a.status = r.StatusCode
	if seconds, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64); err == nil {
		a.retry = time.Duration(seconds * float64(time.Second))
	}
	data, err := io.ReadAll(r.Body)
	a.body, a.complete, a.err = string(data), err == nil, err
	return a
}
