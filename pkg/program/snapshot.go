package program

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// snapshot is the encoding of a Slot. Equal states give equal bytes: the lists are sorted, and encoding/json sorts the
// members of a family.
type snapshot struct {
	Epoch           ids.Epoch        `json:"epoch"`
	Owner           ids.WriterID     `json:"owner"`
	RetentionMillis int64            `json:"retentionMillis"`
	Now             int64            `json:"now"`
	Ahead           int64            `json:"ahead,omitempty"`
	AheadSource     string           `json:"aheadSource,omitempty"`
	Families        []familySnapshot `json:"families,omitempty"`
	Keys            []keySnapshot    `json:"keys,omitempty"`
}

type familySnapshot struct {
	ID     familyID `json:"id"`
	Family *family  `json:"family"`
}

type keySnapshot struct {
	ID    keyID  `json:"id"`
	Entry *entry `json:"entry"`
}

// Snapshot encodes the state. Equal states have equal encodings.
func (s *Slot) Snapshot() (data []byte, err error) {
	x := snapshot{
		Epoch: s.epoch, Owner: s.owner, RetentionMillis: s.retention.Milliseconds(),
		Now: s.time.now, Ahead: s.time.ahead, AheadSource: s.time.source,
	}
	for id, f := range s.families {
		x.Families = append(x.Families, familySnapshot{id, f})
	}
	slices.SortFunc(x.Families, func(a, b familySnapshot) int {
		return cmp.Or(cmp.Compare(a.ID.Workspace, b.ID.Workspace), cmp.Compare(a.ID.Root, b.ID.Root))
	})
	for id, e := range s.keys {
		x.Keys = append(x.Keys, keySnapshot{id, e})
	}
	slices.SortFunc(x.Keys, func(a, b keySnapshot) int {
		return cmp.Or(cmp.Compare(a.Entry.At, b.Entry.At), cmp.Compare(a.ID.Workspace, b.ID.Workspace), cmp.Compare(a.ID.Key, b.ID.Key))
	})
	return json.Marshal(x)
}

// Restore replaces the state by the encoded one. It keeps the retention setting.
func (s *Slot) Restore(data []byte) error {
	x := snapshot{}
	if err := json.Unmarshal(data, &x); err != nil {
		return fmt.Errorf("decode the snapshot of a slot: %w", err)
	}
	restored := New(Options{KeyRetention: s.retentionSetting})
	restored.epoch, restored.owner = x.Epoch, x.Owner
	restored.retention = time.Duration(x.RetentionMillis) * time.Millisecond
	restored.time = streamTime{now: x.Now, ahead: x.Ahead, source: x.AheadSource}
	for _, f := range x.Families {
		if f.Family == nil || f.Family.Members == nil {
			return fmt.Errorf("snapshot of a slot has no state for program %q", f.ID.Root)
		}
		restored.families[f.ID] = f.Family
	}
	// The keys are sorted by time, which is the order of expiry.
	for _, k := range x.Keys {
		if k.Entry == nil {
			return fmt.Errorf("snapshot of a slot has no state for key %q", k.ID.Key)
		}
		restored.keys[k.ID] = k.Entry
		restored.expiry = append(restored.expiry, expiring{k.ID, k.Entry.At})
	}
	*s = *restored
	return nil
}
