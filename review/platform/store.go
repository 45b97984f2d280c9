package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// answerTime is how long the store takes for an answer, as the sheets of the sites say.
const answerTime = 4 * time.Millisecond

// store is a stand-in of the platform's store without faults. It keeps all records.
type store struct {
	mu         sync.Mutex
	changed    *sync.Cond
	partitions map[string][][]byte
}

func runStore(args []string) error {
	flags := flag.NewFlagSet("store", flag.ContinueOnError)
	listen := flags.String("listen", "", "address")
	if err := flags.Parse(args); err != nil {
		return err
	}
	s := &store{partitions: make(map[string][][]byte)}
	s.changed = sync.NewCond(&s.mu)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", s.append)
	mux.HandleFunc("GET /-/log-read", s.read)
	mux.HandleFunc("GET /-/log-newest", s.newest)
	// The operator and the workers write to the keyed topics through this path; the gateways do not know it.
	mux.HandleFunc("POST /keyed", s.put)
	return http.ListenAndServe(*listen, mux)
}

func partitionOf(r *http.Request) string {
	return r.URL.Query().Get("Topic") + "/" + r.URL.Query().Get("part")
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(answerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	name := partitionOf(r)
	end := len(s.partitions[name])
	if at := r.URL.Query().Get("At"); at != "" && at != strconv.Itoa(end) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]int{"End": end})
		return
	}
	for len(body) >= 4 {
		n := binary.BigEndian.Uint32(body)
		s.partitions[name] = append(s.partitions[name], body[4:4+n])
		body = body[4+n:]
	}
	s.changed.Broadcast()
	writeJSON(w, http.StatusOK, map[string]int{"Offset": end, "End": len(s.partitions[name])})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	from, _ := strconv.Atoi(r.URL.Query().Get("From"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	maxKb, err := strconv.Atoi(r.URL.Query().Get("MaxKb"))
	if err != nil {
		maxKb = 1024
	}
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	wake := time.AfterFunc(time.Until(deadline), s.changed.Broadcast)
	defer wake.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	name := partitionOf(r)
	for from >= len(s.partitions[name]) && time.Now().Before(deadline) {
		s.changed.Wait()
	}
	records := s.partitions[name]
	b := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	b = binary.BigEndian.AppendUint64(b, 0)
	for _, record := range records[min(from, len(records)):] {
		if len(b)+4+len(record) > maxKb<<10 {
			break
		}
		b = binary.BigEndian.AppendUint32(b, uint32(len(record)))
		b = append(b, record...)
	}
	_, _ = w.Write(b)
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	type item struct {
		Key    string
		Value  string
		Offset int
	}
	records := s.partitions[partitionOf(r)]
	last := make(map[string]int)
	for i, record := range records {
		last[string(record[1:1+record[0]])] = i
	}
	items := []item{}
	for i, record := range records {
		key, value := string(record[1:1+record[0]]), record[1+record[0]:]
		if last[key] == i && len(value) > 0 {
			items = append(items, item{Key: key, Value: base64.StdEncoding.EncodeToString(value), Offset: i})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "More": false, "End": len(records)})
}

// put appends a record with a key and a value to partition 0 of a keyed topic. An empty value drops the key.
func (s *store) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	key := r.URL.Query().Get("key")
	record := append(append([]byte{byte(len(key))}, key...), value...)
	s.mu.Lock()
	defer s.mu.Unlock()
	name := r.URL.Query().Get("topic") + "/0"
	s.partitions[name] = append(s.partitions[name], record)
	s.changed.Broadcast()
	w.WriteHeader(http.StatusOK)
}

// putKeyed writes a value under a key of a keyed topic of the store at an address.
func putKeyed(address, topic, key string, value []byte) error {
	r, err := http.Post("http://"+address+"/keyed?topic="+topic+"&key="+key, "application/octet-stream", strings.NewReader(string(value)))
	if err != nil {
		return err
	}
	return r.Body.Close()
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
