package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fixedID returns the same id at each start of a worker, newIDs another one at each.
func fixedID(id string) func(int) string { return func(int) string { return id } }

func newIDs(id string) func(int) string {
	return func(start int) string { return id + "-" + strconv.Itoa(start) }
}

// reloadWhileStopping stops a gateway and announces a change of its settings file while it finishes its requests.
func reloadWhileStopping(w *world, trouble bool) (held bool, err error) {
	const (
		requests = 12
		interval = 100 * time.Millisecond
		deadline = 6 * time.Second
		reload   = 700 * time.Millisecond // from SIGTERM to SIGHUP
		graceEnd = 8 * time.Second
	)
	if err := w.publish(60); err != nil {
		return false, err
	}
	for i := range 3 {
		if err := w.startWorker(fixedID(fmt.Sprintf("i-desk%d", i)), plain, "--slots", "6", "--work", "1200ms"); err != nil {
			return false, err
		}
	}
	g, err := w.addGateway(1)
	if err != nil {
		return false, err
	}
	if _, err := w.addGateway(2); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + time.Second)
	answers := make([]answer, requests)
	var clients sync.WaitGroup
	for i := range requests {
		if i == requests/2 {
			w.signal(g, syscall.SIGTERM)
			if trouble {
				time.AfterFunc(reload, func() { w.changeSettings(g) })
			}
		}
		clients.Go(func() {
			answers[i] = w.send(g, fmt.Sprintf("%016x", 0xa100+i), "/print/batch", fmt.Sprintf("order %d", i), deadline, nil)
		})
		time.Sleep(interval)
	}
	clients.Wait()
	<-g.ended
	time.Sleep(200 * time.Millisecond)
	held = true
	for _, a := range answers {
		runs := w.runsOf(a.id)
		if len(runs) == 0 || a.complete {
			continue
		}
		w.note("LOST: %s was passed on to worker %s and its connection ended without a complete answer, %d ms after SIGTERM", a.id, runs[0].worker, time.Since(g.stopped).Milliseconds())
		held = false
	}
	if time.Since(g.stopped) > graceEnd {
		return false, fmt.Errorf("the gateway ended later than the grace period")
	}
	return held, nil
}

// changeSettings changes the settings file of a gateway and announces that, as the platform does.
func (w *world) changeSettings(g *gateway) {
	text, err := os.ReadFile(g.settings)
	if err == nil {
		err = os.WriteFile(g.settings, bytes.Replace(text, []byte("logLevel = info"), []byte("logLevel = warn"), 1), 0o600)
	}
	w.note("the settings file of gateway %s changes (%v)", g.name, err)
	w.signal(g, syscall.SIGHUP)
}

const (
	retentionS = 30.0
	chainTurns = 7
	chainPause = 12 * time.Second
	// turnTries is how often a failed turn is sent: a program sends it three times, each with one retry of the client.
	turnTries   = 6
	turnWait    = 3 * time.Second
	turnBudget  = 2240
	turnTokens  = 280
	firstTurns  = 10
	programAimS = 1.5 * chainTurns * 12.0
)

func turnHeaders(program, previous string, finish time.Duration) map[string]string {
	h := map[string]string{
		"X-Program-Id": program, "X-Session-Id": program, "X-Finish-Ms": strconv.FormatInt(finish.Milliseconds(), 10),
		"X-Token-Budget": strconv.Itoa(turnBudget), "X-Token-Usage": fmt.Sprintf("400,%d", turnTokens),
	}
	if previous != "" {
		h["X-Previous-Turn"] = previous
	}
	return h
}

// oldChain plays one program whose turns follow each other well inside RetentionS until its chain is older than twice
// that time. With trouble, each turn arrives through another zone than the one before it.
func oldChain(w *world, trouble bool) (held bool, err error) {
	if err := w.publish(retentionS); err != nil {
		return false, err
	}
	for i := range 3 {
		if err := w.startWorker(fixedID(fmt.Sprintf("i-brain%d", i)), engine); err != nil {
			return false, err
		}
	}
	for i := range 2 {
		if _, err := w.addGateway(1 + i); err != nil {
			return false, err
		}
	}
	time.Sleep(stableWindow + time.Second)
	began, previous, history := time.Now(), "", ""
	aim := time.Duration(programAimS * float64(time.Second))
	for turn := range chainTurns {
		entry := 0
		if trouble {
			entry = turn % len(w.gateways)
		}
		input := fmt.Sprintf("question %d;", turn)
		a, reached := w.sendTurn(entry, turn, input, previous, aim-time.Since(began))
		if !reached {
			return w.othersReachWorkers()
		}
		if !a.complete || a.status != http.StatusOK {
			return false, fmt.Errorf("turn %d reached a worker and was not answered whole", turn)
		}
		if got, want := w.runsOf(a.id)[0].body, history+input; got != want {
			w.note("UNASKED: turn %d ran with the body %q, not %q", turn, got, want)
			return false, nil
		}
		previous, history = a.id, history+input+outputOf(a.body)
		if turn < chainTurns-1 {
			time.Sleep(chainPause)
		}
	}
	return true, nil
}

// sendTurn sends a turn up to turnTries times, each time to another gateway than before, and reports whether it reached a
// worker. The number of the first gateway is entry.
func (w *world) sendTurn(entry, turn int, input, previous string, left time.Duration) (a answer, reached bool) {
	for try := range turnTries {
		id := fmt.Sprintf("%016x", 0xb000+turn*16+try)
		g := w.gateways[(entry+try)%len(w.gateways)]
		a = w.send(g, id, "/chat/order", input, turnWait, turnHeaders("3fa81c", previous, left))
		if len(w.runsOf(id)) > 0 {
			return a, true
		}
		time.Sleep(max(a.retry, 300*time.Millisecond))
	}
	w.note("turn %d reached no worker in %d tries, %.0f s before the program's aim", turn, turnTries, left.Seconds())
	return a, false
}

// othersReachWorkers sends first turns of other programs to the gateways. The rule is broken if nine tenths of them reach a
// worker.
func (w *world) othersReachWorkers() (held bool, err error) {
	reached := 0
	for i := range firstTurns {
		id := fmt.Sprintf("%016x", 0xc000+i)
		g := w.gateways[i%len(w.gateways)]
		w.send(g, id, "/chat/order", "hello", turnWait, turnHeaders(fmt.Sprintf("first%d", i), "", time.Minute))
		reached += len(w.runsOf(id))
	}
	w.note("%d of %d first turns of other programs reached a worker", reached, firstTurns)
	if reached < firstTurns*9/10 {
		return false, fmt.Errorf("first turns do not reach workers either")
	}
	w.note("LOST: a turn that continues a turn answered whole less than %v s ago reached no worker in %d tries", retentionS, turnTries)
	return false, nil
}

// outputOf returns what a stream adds to the prompts of later turns.
func outputOf(stream string) (text string) {
	for line := range strings.SplitSeq(stream, "\n") {
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			text += data + "\n"
		}
	}
	return text
}

// poison is a request that crashes the workers that run it, and what became of its retries.
type poison struct {
	*world
	path, body string
	headers    map[string]string
	harmless   bool // the same request without the crash
	answers    []answer
}

const (
	poisonInterval = time.Second
	// poisonRetries is how many retries may reach workers once the request has crashed the third.
	poisonRetries = 3
)

// send sends the request once more to a gateway.
func (p *poison) send(g *gateway) {
	body := p.body
	if p.harmless {
		body = strings.Replace(body, crashMark, "crash-nothing!!!", 1)
	}
	id := fmt.Sprintf("%016x", 0xd000+len(p.answers))
	p.answers = append(p.answers, p.world.send(g, id, p.path, body, turnWait, p.headers))
}

// held reports whether at most poisonRetries retries reached workers later than the stable window after the request had
// crashed the third worker. Only those sent by gateways in touch count.
func (p *poison) held(inTouch []bool) bool {
	var crashes []time.Time
	for _, a := range p.answers {
		for _, r := range p.runsOf(a.id) {
			if !r.crashed.IsZero() {
				crashes = append(crashes, r.crashed)
			}
		}
	}
	p.note("the request was sent %d times and crashed workers %d times", len(p.answers), len(crashes))
	if len(crashes) < 3 {
		return true
	}
	late := 0
	for i, a := range p.answers {
		if len(p.runsOf(a.id)) > 0 && inTouch[i] && a.sent.After(crashes[2].Add(stableWindow)) {
			late++
			p.note("retry %s reached worker %s %.1f s after the third crash", a.id, p.runsOf(a.id)[0].worker, a.sent.Sub(crashes[2]).Seconds())
		}
	}
	p.note("%d retries reached workers later than %v after the third crash", late, stableWindow)
	return late <= poisonRetries
}

// crashInStream repeats a turn that crashes each worker that runs it after the first event of its stream.
func crashInStream(w *world, trouble bool) (held bool, err error) {
	p := &poison{
		world: w, path: "/chat/order", body: "photo " + crashMark, headers: turnHeaders("bad", "", time.Minute), harmless: !trouble,
	}
	return w.repeat(p, 3, 14, func(i int) func(int) string { return newIDs(fmt.Sprintf("i-brain%d", i)) }, engine, "--crash-after", "1")
}

// crashSameID repeats a request that crashes each of two workers, which start again under the ids that they had.
func crashSameID(w *world, trouble bool) (held bool, err error) {
	p := &poison{world: w, path: "/print/batch", body: "order " + crashMark}
	ids := func(i int) func(int) string { return fixedID(fmt.Sprintf("i-desk%d", i)) }
	if !trouble {
		ids = func(i int) func(int) string { return newIDs(fmt.Sprintf("i-desk%d", i)) }
	}
	return w.repeat(p, 2, 24, ids, plain, "--slots", "6")
}

// repeat sends a request again and again to two gateways by turns.
func (w *world) repeat(p *poison, workers, times int, ids func(i int) func(int) string, service string, flags ...string) (held bool, err error) {
	if err := w.publish(60); err != nil {
		return false, err
	}
	for i := range workers {
		if err := w.startWorker(ids(i), service, flags...); err != nil {
			return false, err
		}
	}
	for i := range 2 {
		if _, err := w.addGateway(1 + i); err != nil {
			return false, err
		}
	}
	time.Sleep(stableWindow + time.Second)
	var inTouch []bool
	for i := range times {
		g := w.gateways[i%2]
		inTouch = append(inTouch, g.inTouch(time.Now()))
		p.send(g)
		time.Sleep(poisonInterval)
	}
	return p.held(inTouch), nil
}

// crashAfterRestart repeats a request that crashes the workers that run it, until it is refused, and then restarts the
// gateways in turn.
func crashAfterRestart(w *world, trouble bool) (held bool, err error) {
	const (
		gateways = 6
		before   = 16 // times that the request is sent before the restarts
		gap      = 2 * time.Second
	)
	if err := w.publish(60); err != nil {
		return false, err
	}
	for i := range 6 {
		if err := w.startWorker(newIDs(fmt.Sprintf("i-desk%d", i)), plain, "--slots", "6"); err != nil {
			return false, err
		}
	}
	for i := range gateways {
		if _, err := w.addGateway(1 + i); err != nil {
			return false, err
		}
	}
	time.Sleep(stableWindow + time.Second)
	p := &poison{world: w, path: "/print/batch", body: "order " + crashMark}
	var inTouch []bool
	send := func(g *gateway) {
		inTouch = append(inTouch, g.inTouch(time.Now()))
		p.send(g)
		time.Sleep(poisonInterval)
	}
	for i := range before {
		send(w.gateways[i%gateways])
	}
	restarted := make(chan error, 1)
	go func() { restarted <- w.restartInTurn(trouble, gap) }()
	for done, after := false, 0; !done || after < gateways; {
		select {
		case err := <-restarted:
			if err != nil {
				return false, err
			}
			done = true
		default:
		}
		if done {
			after++
		}
		if g := w.newest(); g != nil {
			send(g)
		} else {
			time.Sleep(poisonInterval / 10)
		}
	}
	return p.held(inTouch), nil
}

// newest returns the gateway that was started last among those that are ready and in touch, or nil.
func (w *world) newest() (newest *gateway) {
	for _, g := range w.gateways {
		if !g.inTouch(time.Now()) || !g.isReady() {
			continue
		}
		if newest == nil || g.startedAt().After(newest.startedAt()) {
			newest = g
		}
	}
	return newest
}

// restartInTurn stops and starts one gateway after the other. Without trouble it only takes as long.
func (w *world) restartInTurn(trouble bool, gap time.Duration) error {
	for _, g := range w.gateways {
		if !trouble {
			time.Sleep(gap + 3*time.Second)
			continue
		}
		w.signal(g, syscall.SIGTERM)
		<-g.ended
		if err := w.startGateway(g); err != nil {
			return err
		}
		time.Sleep(gap)
	}
	return nil
}
