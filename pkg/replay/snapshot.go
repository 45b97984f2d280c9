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
	// MaxPartBytes is the size of a snapshot's data in one entry. Encoded in Base64 it takes 342 KiB, well below
	// record.MaxEntryBytes.
	MaxPartBytes = 256 << 10
	// MaxParts limits a snapshot to 1 GiB.
	MaxParts = 4096
	// maxCandidates limits the number of incomplete snapshots that a search keeps. A stream has one snapshot writer, so
	// there is rarely more than one in progress.
	maxCandidates = 4
)

// header is the first line of a snapshot's data. The fold's state follows it.
type header struct {
	Writers writers `json:"writers"`
}

// Snapshot returns the parts of a snapshot of the state before Next. Each part has to be appended as a separate entry.
// There are no parts before the first entry of the stream.
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

// encode returns a snapshot's data: the header and the fold's state.
func (r *Replay) encode() (data []byte, err error) {
	state, err := r.fold.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("encode the fold: %w", err)
	}
	head, err := json.Marshal(header{Writers: r.writers})
	if err != nil {
		return nil, fmt.Errorf("encode the header: %w", err)
	}
	return append(append(head, '\n'), state...), nil
}

// restore replaces the state by that of a snapshot's data. On an error the state is unchanged.
func (r *Replay) restore(data []byte) (err error) {
	head, state, found := bytes.Cut(data, []byte{'\n'})
	if !found {
		return errors.New("snapshot without header")
	}
	h := header{Writers: make(writers)}
	if err := json.Unmarshal(head, &h); err != nil {
		return fmt.Errorf("decode the header: %w", err)
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

// search collects parts of snapshots until the parts of one are complete.
type search struct {
	candidates []*candidate // least recently extended first
}

// candidate is a snapshot of which some parts were read. Parts with the same writer and covered offset belong together.
type candidate struct {
	writer ids.WriterID
	covers ids.Offset
	parts  [][]byte
	seen   int
}

// add adds one part. If the part completes a snapshot, add drops the candidate and returns the whole data.
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
		break // the writer started the snapshot again with another number of parts
	}
	return &candidate{writer: w, covers: p.Covers, parts: make([][]byte, p.Parts)}
}
