package slot

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// snapshot is the encoding of a Table.
type snapshot struct {
	Slots      []Ownership `json:"slots"`
	Suspicions []Suspicion `json:"suspicions,omitempty"`
	Requests   requests    `json:"requests,omitempty"`
}

// Snapshot encodes the state. Equal states have equal encodings.
func (t *Table) Snapshot() (data []byte, err error) {
	s := snapshot{Slots: t.slots, Requests: t.requests}
	for _, w := range slices.Sorted(maps.Keys(t.suspicions)) {
		s.Suspicions = append(s.Suspicions, t.suspicions[w])
	}
	return json.Marshal(s)
}

// Restore replaces the state with an encoded one, which must have the same number of slots.
func (t *Table) Restore(data []byte) error {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("decode snapshot of the fleet stream: %w", err)
	}
	if len(s.Slots) != len(t.slots) {
		return fmt.Errorf("snapshot of the fleet stream has %d slots, expected %d", len(s.Slots), len(t.slots))
	}
	*t = Table{
		slots:      s.Slots,
		owned:      make(map[ids.WriterID]int),
		suspicions: make(map[ids.WriterID]Suspicion),
		requests:   s.Requests,
	}
	for _, o := range t.slots {
		if o.Owner != "" && !o.Released {
			t.owned[o.Owner]++
		}
	}
	for _, x := range s.Suspicions {
		t.suspicions[x.Writer] = x
	}
	return nil
}
