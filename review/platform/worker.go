package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// crashMark in the body of a request makes a worker crash when it begins to run the request.
const crashMark = "crash-the-worker"

// heartbeat is the time between two entries of a worker in the store.
const heartbeat = 1200 * time.Millisecond

// workerOptions are the settings of a worker.
type workerOptions struct {
	id, listen, store, service, zone string
	slots                            int
	work                             time.Duration // of a request that is not a stream
	events                           int           // of a stream
	eventPause                       time.Duration
	// crashAfter is the number of events of a stream that are sent before a request with the crash mark ends the process.
	crashAfter int
}

// worker is a stand-in of a worker of the platform. It writes what it does to standard output, one JSON object a line.
type worker struct {
	workerOptions
	slotsFree chan struct{}
	waiting   atomic.Int64
	mu        sync.Mutex // guards standard output
}

// ranEvent is one line of a worker's output.
type ranEvent struct {
	Worker, What, ID, Path, Body string
	// Whole is set if a run ended by itself, and not because its connection was closed.
	Whole bool `json:",omitempty"`
}

func runWorker(args []string) error {
	w := &worker{}
	flags := flag.NewFlagSet("worker", flag.ContinueOnError)
	flags.StringVar(&w.id, "id", "", "id")
	flags.StringVar(&w.listen, "listen", "", "address")
	flags.StringVar(&w.store, "store", "", "address of the store")
	flags.StringVar(&w.service, "service", "", "service")
	flags.StringVar(&w.zone, "zone", "", "zone")
	flags.IntVar(&w.slots, "slots", 8, "requests at once")
	flags.DurationVar(&w.work, "work", 100*time.Millisecond, "time for a request that is not a stream")
	flags.IntVar(&w.events, "events", 5, "events of a stream")
	flags.DurationVar(&w.eventPause, "event-pause", 20*time.Millisecond, "time before each event")
	flags.IntVar(&w.crashAfter, "crash-after", 0, "events before a crash")
	if err := flags.Parse(args); err != nil {
		return err
	}
	w.slotsFree = make(chan struct{}, w.slots)
	go w.register()
	return http.ListenAndServe(w.listen, w)
}

// register writes the worker's entry to the store until the process ends.
func (w *worker) register() {
	born := time.Now().UnixMilli()
	for seq := 1; ; seq++ {
		entry, _ := json.Marshal(map[string]any{
			"Service": w.service, "Address": w.listen, "Zone": w.zone, "Version": "v1", "Slots": w.slots, "State": "ready",
			"ColdLeftMs": 0, "Seq": seq, "born": born,
		})
		_ = putKeyed(w.store, "keyed.servers", w.id, entry)
		time.Sleep(heartbeat)
	}
}

func (w *worker) log(what, body string, whole bool, r *http.Request) {
	line, _ := json.Marshal(ranEvent{Worker: w.id, What: what, ID: r.Header.Get("X-Attempt-Id"), Path: r.URL.Path, Body: body, Whole: whole})
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = os.Stdout.Write(append(line, '\n'))
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	h := rw.Header()
	h.Set("X-Instance-Id", w.id)
	h.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", len(w.slotsFree), w.waiting.Load(), w.slots))
	switch expected := r.Header.Get("X-Expect-Instance"); {
	case id == "":
		h.Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	case expected != "" && expected != w.id:
		h.Set("X-Attempt-Id", id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h.Set("X-Attempt-Id", id)
	w.waiting.Add(1)
	select {
	case w.slotsFree <- struct{}{}:
		w.waiting.Add(-1)
	case <-r.Context().Done():
		w.waiting.Add(-1)
		return
	}
	defer func() { <-w.slotsFree }()
	text := string(body)
	w.log("runs", text, false, r)
	h.Set("X-Response-Stamp", "stamp-"+w.id+"-"+id)
	whole := w.answer(rw, r, text)
	w.log("ended", "", whole, r)
}

// answer runs a request and reports whether it ran to its end.
func (w *worker) answer(rw http.ResponseWriter, r *http.Request, body string) bool {
	crash := strings.Contains(body, crashMark)
	if !strings.HasPrefix(r.URL.Path, "/chat/") {
		if crash {
			w.crash(body, r)
		}
		select {
		case <-time.After(w.work):
		case <-r.Context().Done():
			return false
		}
		_, err := fmt.Fprintf(rw, "answer of %s to %s\n", w.id, r.Header.Get("X-Attempt-Id"))
		return err == nil
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := last + 1; i <= w.events; i++ {
		if crash && i > last+w.crashAfter {
			w.crash(body, r)
		}
		select {
		case <-time.After(w.eventPause):
		case <-r.Context().Done():
			return false
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s.%d\n\n", i, r.Header.Get("X-Attempt-Id"), i); err != nil {
			return false
		}
		rw.(http.Flusher).Flush()
	}
	return true
}

// crash ends the process as a crash would: its connections are closed by the kernel.
func (w *worker) crash(body string, r *http.Request) {
	time.Sleep(5 * time.Millisecond) // the events before the crash are on their way
	w.log("crashes", body, false, r)
	os.Exit(3)
}
