package program

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// Slot is the folded state of a slot's stream. It is not safe for concurrent use.
type Slot struct {
	epoch            ids.Epoch
	owner            ids.WriterID
	retentionSetting time.Duration // own setting, stated in NewOpen
	retention        time.Duration // stated by the last open record that states one
	time             streamTime
	families         map[familyID]*family
	keys             map[keyID]*entry
	expiry           []expiring // in order of at, which never decreases
}

type familyID struct {
	Workspace ids.WorkspaceID `json:"workspace"`
	Root      ids.ProgramID   `json:"root"`
}

type keyID struct {
	Workspace ids.WorkspaceID `json:"workspace"`
	Key       ids.RequestKey  `json:"key"`
}

// family is a root program with its sub-agents, which share its budget. The exported fields are its encoding.
type family struct {
	Spending Spending                 `json:"spending"`
	LastUse  int64                    `json:"lastUse"` // Unix milliseconds
	LastAt   ids.Position             `json:"lastAt"`
	Members  map[ids.ProgramID]member `json:"members"`
}

type member struct {
	Turns    int              `json:"turns"`
	Messages []record.Message `json:"messages"`
}

// entry is the state of a request key. The exported fields are its encoding.
type entry struct {
	State   KeyState `json:"state"`
	Attempt int64    `json:"attempt,omitempty"`
	At      int64    `json:"at"` // stream time at which the retention started, Unix milliseconds
}

// expiring is an entry of the queue of keys by the time at which their retention started.
type expiring struct {
	key keyID
	at  int64
}

// New returns the state before the first record.
func New(o Options) *Slot {
	retention := cmp.Or(o.KeyRetention, DefaultKeyRetention)
	return &Slot{
		retentionSetting: retention,
		retention:        retention,
		families:         make(map[familyID]*family),
		keys:             make(map[keyID]*entry),
	}
}

// Apply folds one record. A rejected record changes nothing; the error is the reason. The state refers to parts of the
// record, which must not be modified afterwards.
func (s *Slot) Apply(at ids.Position, w ids.WriterID, b record.Body) error {
	switch b := b.(type) {
	case *record.Open:
		return s.applyOpen(w, b)
	case *record.Turn:
		return s.applyTurn(at, w, b)
	case *record.Intent:
		return s.applyIntent(at, w, b)
	case *record.Cancel:
		return s.applyCancel(w, b)
	case *record.Outcome:
		return s.applyOutcome(w, b)
	case *record.Reserve:
		return s.applyReserve(at, w, b)
	case *record.Settle:
		return s.applySettle(w, b)
	case *record.End:
		return s.applyEnd(w, b)
	default:
		return fmt.Errorf("%w: %s in a slot's stream", ErrRecordType, b.Type())
	}
}

// Epoch returns the current epoch and its owner; the epoch is 0 before the first open record.
func (s *Slot) Epoch() (ids.Epoch, ids.WriterID) {
	return s.epoch, s.owner
}

// Lookup returns the state of a request key, and false if the key is unknown or expired.
func (s *Slot) Lookup(ws ids.WorkspaceID, k ids.RequestKey) (KeyState, bool) {
	e := s.keys[keyID{ws, k}]
	if e == nil {
		return KeyState{}, false
	}
	return s.keyState(e), true
}

// Program returns the state of a program, and false if it has no turns.
func (s *Slot) Program(ws ids.WorkspaceID, p ids.ProgramID) (ProgramState, bool) {
	f := s.families[familyID{ws, p.Root()}]
	if f == nil {
		return ProgramState{}, false
	}
	m, ok := f.Members[p]
	if !ok {
		return ProgramState{}, false
	}
	return ProgramState{
		Messages: m.Messages[:len(m.Messages):len(m.Messages)],
		Turns:    m.Turns,
		LastUse:  time.UnixMilli(f.LastUse),
		LastAt:   f.LastAt,
	}, true
}

// Budget returns the spending of a root program with its sub-agents; zero if it is unknown.
func (s *Slot) Budget(ws ids.WorkspaceID, root ids.ProgramID) Spending {
	f := s.families[familyID{ws, root.Root()}]
	if f == nil {
		return Spending{}
	}
	return f.Spending
}

// keyState returns an entry's state, where an intent of an earlier epoch is undecided.
func (s *Slot) keyState(e *entry) KeyState {
	state := e.State
	if state.Phase == PhaseIntent && state.Epoch < s.epoch {
		state.Phase = PhaseUndecided
	}
	return state
}

// NewOpen returns the record that opens an epoch. It states the owner's time and the key retention from Options, so that
// readers with different settings agree on which keys have expired.
func (s *Slot) NewOpen(now time.Time, e ids.Epoch, owner ids.WriterID) *record.Open {
	return &record.Open{
		Epoch: e, Owner: owner, UnixMilli: now.UnixMilli(), KeyRetentionMillis: ids.Millis(s.retentionSetting),
	}
}

// checkOwner returns an error if e is not the current epoch or w is not its owner.
func (s *Slot) checkOwner(e ids.Epoch, w ids.WriterID) error {
	if e != s.epoch {
		return fmt.Errorf("%w: %d, current is %d", ErrStaleEpoch, e, s.epoch)
	}
	if w != s.owner {
		return fmt.Errorf("%w: epoch %d belongs to %s", ErrNotOwner, e, s.owner)
	}
	return nil
}

func (s *Slot) applyOpen(w ids.WriterID, o *record.Open) error {
	if o.Epoch <= s.epoch {
		return fmt.Errorf("%w: open of %d, current is %d", ErrStaleEpoch, o.Epoch, s.epoch)
	}
	if w != o.Owner {
		return fmt.Errorf("%w: open for %s", ErrNotOwner, o.Owner)
	}
	s.epoch, s.owner = o.Epoch, o.Owner
	if o.KeyRetentionMillis > 0 {
		s.retention = time.Duration(o.KeyRetentionMillis) * time.Millisecond
	}
	// The tokens that the previous owner reserved and did not settle count as spent.
	for _, f := range s.families {
		f.Spending.Spent = f.Spending.Reserved
	}
	s.advance(s.time.next(w, o.UnixMilli, s.retention))
	return nil
}

func (s *Slot) applyTurn(at ids.Position, w ids.WriterID, t *record.Turn) error {
	if err := s.checkOwner(t.Epoch, w); err != nil {
		return err
	}
	next := s.time.next(w, t.UnixMilli, s.retention)
	if err := s.checkUnused(keyID{t.Workspace, t.Key}, next); err != nil {
		return err
	}
	if p, _ := s.Program(t.Workspace, t.Program); t.Index != p.Turns {
		return fmt.Errorf("%w: %d, the next turn of %s is %d", ErrWrongIndex, t.Index, t.Program, p.Turns)
	}
	s.advance(next)
	s.touch(at, t.UnixMilli, t.Workspace, t.Program).addTurn(t)
	s.addKey(keyID{t.Workspace, t.Key}, 0, KeyState{
		Phase: PhaseTurn, Epoch: t.Epoch, Fingerprint: t.Fingerprint, Response: t.Response,
	})
	return nil
}

func (f *family) addTurn(t *record.Turn) {
	m := f.Members[t.Program]
	m.Turns++
	m.Messages = append(m.Messages, t.Messages...)
	f.Members[t.Program] = m
	f.Spending.Spent += t.Usage.Total()
	f.Spending.Reserved = max(f.Spending.Reserved, f.Spending.Spent)
}

func (s *Slot) applyIntent(at ids.Position, w ids.WriterID, i *record.Intent) error {
	if err := s.checkOwner(i.Epoch, w); err != nil {
		return err
	}
	next := s.time.next(w, i.UnixMilli, s.retention)
	if err := s.checkUnused(keyID{i.Workspace, i.Key}, next); err != nil {
		return err
	}
	s.advance(next)
	if s.families[familyID{i.Workspace, i.Program.Root()}] != nil {
		s.touch(at, i.UnixMilli, i.Workspace, i.Program)
	}
	s.addKey(keyID{i.Workspace, i.Key}, i.Attempt, KeyState{
		Phase: PhaseIntent, Epoch: i.Epoch, Fingerprint: i.Fingerprint, Target: i.Target,
	})
	return nil
}

// runningIntent returns the entry of a key if it is an intent of the current epoch without an outcome.
func (s *Slot) runningIntent(ws ids.WorkspaceID, k ids.RequestKey) (*entry, error) {
	e := s.keys[keyID{ws, k}]
	if e == nil || s.keyState(e).Phase != PhaseIntent {
		return nil, fmt.Errorf("%w: key %q", ErrNoIntent, k)
	}
	return e, nil
}

func (s *Slot) applyCancel(w ids.WriterID, c *record.Cancel) error {
	if err := s.checkOwner(c.Epoch, w); err != nil {
		return err
	}
	e, err := s.runningIntent(c.Workspace, c.Key)
	if err != nil {
		return err
	}
	if e.Attempt != c.Attempt {
		return fmt.Errorf("%w: key %q, attempt %d", ErrNoIntent, c.Key, c.Attempt)
	}
	delete(s.keys, keyID{c.Workspace, c.Key})
	return nil
}

func (s *Slot) applyOutcome(w ids.WriterID, o *record.Outcome) error {
	if err := s.checkOwner(o.Epoch, w); err != nil {
		return err
	}
	e, err := s.runningIntent(o.Workspace, o.Key)
	if err != nil {
		return err
	}
	e.State.Phase = PhaseOutcome
	if o.Status == record.StatusUnknown {
		e.State.Phase = PhaseUndecided
	}
	e.State.Status, e.State.ContentType, e.State.Body = o.Status, o.ContentType, o.Body
	return nil
}

func (s *Slot) applyReserve(at ids.Position, w ids.WriterID, r *record.Reserve) error {
	if err := s.checkOwner(r.Epoch, w); err != nil {
		return err
	}
	// A limit that is not above the current one is accepted too, so that an owner can repeat a reservation whose result
	// it did not learn.
	s.advance(s.time.next(w, r.UnixMilli, s.retention))
	f := s.touch(at, r.UnixMilli, r.Workspace, r.Program)
	f.Spending.Reserved = max(f.Spending.Reserved, r.UpTo)
	return nil
}

func (s *Slot) applySettle(w ids.WriterID, r *record.Settle) error {
	if err := s.checkOwner(r.Epoch, w); err != nil {
		return err
	}
	f := s.families[familyID{r.Workspace, r.Program.Root()}]
	if f == nil {
		return fmt.Errorf("%w: %s", ErrUnknownProgram, r.Program)
	}
	if r.Spent < f.Spending.Spent {
		return fmt.Errorf("%w: settled %d tokens, %d are spent", ErrSpending, r.Spent, f.Spending.Spent)
	}
	f.Spending = Spending{Spent: r.Spent, Reserved: r.Spent}
	return nil
}

func (s *Slot) applyEnd(w ids.WriterID, e *record.End) error {
	if err := s.checkOwner(e.Epoch, w); err != nil {
		return err
	}
	id := familyID{e.Workspace, e.Program.Root()}
	f := s.families[id]
	if f == nil || !f.has(e.Program) {
		return fmt.Errorf("%w: %s", ErrUnknownProgram, e.Program)
	}
	if e.LastUse != nil && *e.LastUse != f.LastAt {
		return fmt.Errorf("%w: %s", ErrInUse, e.Program)
	}
	if e.Program == id.Root {
		delete(s.families, id)
		return nil
	}
	for p := range f.Members {
		if isWithin(p, e.Program) {
			delete(f.Members, p)
		}
	}
	return nil
}

// has reports whether the family has the program or a sub-agent of it. It always has its root, even if only a reservation
// was recorded for it.
func (f *family) has(p ids.ProgramID) bool {
	if p == p.Root() {
		return true
	}
	for m := range f.Members {
		if isWithin(m, p) {
			return true
		}
	}
	return false
}

// isWithin reports whether p is ancestor or a sub-agent below it.
func isWithin(p, ancestor ids.ProgramID) bool {
	return p == ancestor || strings.HasPrefix(string(p), string(ancestor)+"/")
}

// touch returns the family of a program, which it creates if needed, and records its use at time t by the record at
// position at. The caller passes the record's own time, because the stream's time may lag behind it; see streamTime.
func (s *Slot) touch(at ids.Position, t int64, ws ids.WorkspaceID, p ids.ProgramID) *family {
	id := familyID{ws, p.Root()}
	f := s.families[id]
	if f == nil {
		f = &family{Members: make(map[ids.ProgramID]member)}
		s.families[id] = f
	}
	f.LastAt = at
	f.LastUse = max(f.LastUse, t, s.time.now)
	return f
}
