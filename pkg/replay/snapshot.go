package replay

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

const (
	// MaxPartBytes is the size of a snapshot's data in one entry. Base64 takes it to 342 KiB, well below
	// record.MaxEntryBytes.
	MaxPartBytes = 256 << 10
	// MaxParts bounds a snapshot to 1 GiB.
	MaxParts = 4096
	// maxCandidates bounds the snapshots of which parts are kept while looking for a complete one. A stream has one
	// snapshot writer, so there is rarely more than one in progress.
	maxCandidates = 4
)

// header precedes the fold's state in a snapshot's data, on a line of its own.
type header struct {
	Writers writers `json:"writers"`
}

// Snapshot returns the parts of a snapshot of the state before Next, each to be appended as an entry of its own. There
// are none before the first entry.
func (r *Replay) Snapshot() (parts []record.Body, err error) {
	if !r.Ready() {
		return nil, ErrNotReady
	}
	if r.next == 0 {
		return nil, nil
	}
	data, err := r.encode()
	if err != nil {
		return nil, err
	}
	n := (len(data) + r.partBytes - 1) / r.partBytes
	if n > MaxParts {
		return nil, fmt.Errorf("snapshot of %d bytes needs %d parts, at most %d", len(data), n, MaxParts)
	}
	for i := range n {
		part := data[i*r.partBytes : min(len(data), (i+1)*r.partBytes)]
		parts = append(parts, &record.Snapshot{Covers: r.next - 1, Part: i, Parts: n, Data: part})
	}
	return parts, nil
}

func (r *Replay) encode() (data []byte, err error) {
	state, err := r.fold.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("snapshot of the fold: %w", err)
	}
	head, err := json.Marshal(header{Writers: r.writers})
	if err != nil {
		return nil, fmt.Errorf("snapshot of the writers: %w", err)
	}
	return append(append(head, '\n'), state...), nil
}

func (r *Replay) restore(data []byte) (err error) {
	head, state, found := bytes.Cut(data, []byte{'\n'})
	if !found {
		return errors.New("no header")
	}
	h := header{Writers: make(writers)}
	if err := json.Unmarshal(head, &h); err != nil {
		return fmt.Errorf("header: %w", err)
	}
	if h.Writers == nil {
		return errors.New("header without writers")
	}
	if err := r.fold.Restore(state); err != nil {
		return err
	}
	r.writers = h.Writers
	return nil
}

// search collects parts of snapshots until one is complete.
type search struct {
	candidates []*candidate // least recently extended first
}

// candidate is a snapshot in progress. Parts belong together by writer and covered offset.
type candidate struct {
	writer ids.WriterID
	covers ids.Offset
	parts  [][]byte
	seen   int
}

// add takes one part and returns the whole data if it completes a snapshot, which is then forgotten.
func (s *search) add(w ids.WriterID, p *record.Snapshot) (data []byte, complete bool) {
	if p.Parts > MaxParts {
		return nil, false
	}
	c := s.take(w, p)
	if c.parts[p.Part] == nil {
		c.parts[p.Part] = append([]byte{}, p.Data...) // not nil, even if empty
		c.seen++
	}
	if c.seen == len(c.parts) {
		return bytes.Join(c.parts, nil), true
	}
	if len(s.candidates) >= maxCandidates {
		s.candidates = s.candidates[1:]
	}
	s.candidates = append(s.candidates, c)
	return nil, false
}

// take removes and returns the candidate that a part belongs to, or returns a new one.
func (s *search) take(w ids.WriterID, p *record.Snapshot) *candidate {
	for i, c := range s.candidates {
		if c.writer != w || c.covers != p.Covers {
			continue
		}
		s.candidates = append(s.candidates[:i], s.candidates[i+1:]...)
		if len(c.parts) == p.Parts {
			return c
		}
		break // the writer began again with another division
	}
	return &candidate{writer: w, covers: p.Covers, parts: make([][]byte, p.Parts)}
}
