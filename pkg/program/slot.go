package program

import (
	"fmt"
	"strings"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// Slot is the folded state of a slot's stream. It is not safe for concurrent use.
type Slot struct {
	epoch     ids.Epoch
	owner     ids.WriterID
	retention time.Duration
	time      streamTime
	families  map[familyID]*family
	keys      map[keyID]*entry
	expiry    []expiring // in order of time, which never decreases
}

type familyID struct {
	Workspace ids.WorkspaceID
	Root      ids.ProgramID
}

type keyID struct {
	Workspace ids.WorkspaceID
	Key       ids.RequestKey
}

// family is a root program with its sub-agents, which share its budget.
type family struct {
	spending Spending
	lastUse  int64 // stream time, Unix milliseconds
	lastAt   ids.Position
	members  map[ids.ProgramID]*member
}

type member struct {
	turns    int
	messages []record.Message
}

// entry is the state of a request key.
type entry struct {
	state   KeyState
	attempt int64
	at      int64 // stream time at which the retention started, Unix milliseconds
}

type expiring struct {
	key keyID
	at  int64
}

// New returns the state before the first record.
func New(o Options) *Slot {
	return &Slot{
		retention: o.KeyRetention,
		families:  make(map[familyID]*family),
		keys:      make(map[keyID]*entry),
	}
}

// Apply folds one record. A record that does not count changes nothing and returns the reason. The record is kept and
// must not be modified afterwards.
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
		return s.applySettle(at, w, b)
	case *record.End:
		return s.applyEnd(w, b)
	default:
		return fmt.Errorf("%w: %s in a slot's stream", ErrRecordType, b.Type())
	}
}

// Epoch returns the current epoch and its owner; epoch 0 before the first open.
func (s *Slot) Epoch() (ids.Epoch, ids.WriterID) {
	return s.epoch, s.owner
}

// Lookup returns what is known about a request key.
func (s *Slot) Lookup(ws ids.WorkspaceID, k ids.RequestKey) (KeyState, bool) {
	e := s.keys[keyID{ws, k}]
	if e == nil {
		return KeyState{}, false
	}
	return s.keyState(e), true
}

// Program returns the state of a program.
func (s *Slot) Program(ws ids.WorkspaceID, p ids.ProgramID) (ProgramState, bool) {
	f := s.families[familyID{ws, p.Root()}]
	if f == nil || f.members[p] == nil {
		return ProgramState{}, false
	}
	m := f.members[p]
	return ProgramState{
		Messages: m.messages[:len(m.messages):len(m.messages)],
		Turns:    m.turns,
		LastUse:  time.UnixMilli(f.lastUse),
		LastAt:   f.lastAt,
	}, true
}

// Budget returns the spending of a root program with its sub-agents; zero if it is unknown.
func (s *Slot) Budget(ws ids.WorkspaceID, root ids.ProgramID) Spending {
	f := s.families[familyID{ws, root.Root()}]
	if f == nil {
		return Spending{}
	}
	return f.spending
}

func (s *Slot) keyState(e *entry) KeyState {
	state := e.state
	if state.Phase == PhaseIntent && state.Epoch < s.epoch {
		state.Phase = PhaseUndecided
	}
	return state
}

// check returns why a record of the owner of an epoch does not count.
func (s *Slot) check(e ids.Epoch, w ids.WriterID) error {
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
	for _, f := range s.families {
		f.spending.Spent = f.spending.Reserved
	}
	s.advance(s.time.next(w, o.UnixMilli, s.retention))
	return nil
}

func (s *Slot) applyTurn(at ids.Position, w ids.WriterID, t *record.Turn) error {
	if err := s.check(t.Epoch, w); err != nil {
		return err
	}
	next := s.time.next(w, t.UnixMilli, s.retention)
	if err := s.checkUnused(keyID{t.Workspace, t.Key}, next); err != nil {
		return err
	}
	turns := 0
	f := s.families[familyID{t.Workspace, t.Program.Root()}]
	if f != nil && f.members[t.Program] != nil {
		turns = f.members[t.Program].turns
	}
	if t.Index != turns {
		return fmt.Errorf("%w: %d, the next turn of %s is %d", ErrWrongIndex, t.Index, t.Program, turns)
	}
	s.advance(next)
	s.touch(at, t.Workspace, t.Program).addTurn(t)
	s.addKey(keyID{t.Workspace, t.Key}, 0, KeyState{
		Phase: PhaseTurn, Epoch: t.Epoch, Fingerprint: t.Fingerprint, Response: t.Response,
	})
	return nil
}

func (f *family) addTurn(t *record.Turn) {
	m := f.members[t.Program]
	if m == nil {
		m = &member{}
		f.members[t.Program] = m
	}
	m.turns++
	m.messages = append(m.messages, t.Messages...)
	f.spending.Spent += t.Usage.Total()
	f.spending.Reserved = max(f.spending.Reserved, f.spending.Spent)
}

func (s *Slot) applyIntent(at ids.Position, w ids.WriterID, i *record.Intent) error {
	if err := s.check(i.Epoch, w); err != nil {
		return err
	}
	next := s.time.next(w, i.UnixMilli, s.retention)
	if err := s.checkUnused(keyID{i.Workspace, i.Key}, next); err != nil {
		return err
	}
	s.advance(next)
	if s.families[familyID{i.Workspace, i.Program.Root()}] != nil {
		s.touch(at, i.Workspace, i.Program)
	}
	s.addKey(keyID{i.Workspace, i.Key}, i.Attempt, KeyState{
		Phase: PhaseIntent, Epoch: i.Epoch, Fingerprint: i.Fingerprint, Target: i.Target,
	})
	return nil
}

// running returns the intent without outcome of the current epoch for a key.
func (s *Slot) running(ws ids.WorkspaceID, k ids.RequestKey) (*entry, error) {
	e := s.keys[keyID{ws, k}]
	if e == nil || s.keyState(e).Phase != PhaseIntent {
		return nil, fmt.Errorf("%w: key %q", ErrNoIntent, k)
	}
	return e, nil
}

func (s *Slot) applyCancel(w ids.WriterID, c *record.Cancel) error {
	if err := s.check(c.Epoch, w); err != nil {
		return err
	}
	e, err := s.running(c.Workspace, c.Key)
	if err != nil {
		return err
	}
	if e.attempt != c.Attempt {
		return fmt.Errorf("%w: key %q, attempt %d", ErrNoIntent, c.Key, c.Attempt)
	}
	delete(s.keys, keyID{c.Workspace, c.Key})
	return nil
}

func (s *Slot) applyOutcome(w ids.WriterID, o *record.Outcome) error {
	if err := s.check(o.Epoch, w); err != nil {
		return err
	}
	e, err := s.running(o.Workspace, o.Key)
	if err != nil {
		return err
	}
	e.state.Phase = PhaseOutcome
	if o.Status == record.StatusUnknown {
		e.state.Phase = PhaseUndecided
	}
	e.state.Status, e.state.ContentType, e.state.Body = o.Status, o.ContentType, o.Body
	return nil
}

func (s *Slot) applyReserve(at ids.Position, w ids.WriterID, r *record.Reserve) error {
	if err := s.check(r.Epoch, w); err != nil {
		return err
	}
	if reserved := s.Budget(r.Workspace, r.Program).Reserved; r.UpTo <= reserved {
		return fmt.Errorf("%w: up to %d tokens, %d are reserved", ErrSpending, r.UpTo, reserved)
	}
	s.touch(at, r.Workspace, r.Program).spending.Reserved = r.UpTo
	return nil
}

func (s *Slot) applySettle(at ids.Position, w ids.WriterID, r *record.Settle) error {
	if err := s.check(r.Epoch, w); err != nil {
		return err
	}
	f := s.families[familyID{r.Workspace, r.Program.Root()}]
	if f == nil {
		return fmt.Errorf("%w: %s", ErrUnknownProgram, r.Program)
	}
	if r.Spent < f.spending.Spent {
		return fmt.Errorf("%w: settled %d tokens, %d are spent", ErrSpending, r.Spent, f.spending.Spent)
	}
	f.spending = Spending{Spent: r.Spent, Reserved: r.Spent}
	return nil
}

func (s *Slot) applyEnd(w ids.WriterID, e *record.End) error {
	if err := s.check(e.Epoch, w); err != nil {
		return err
	}
	id := familyID{e.Workspace, e.Program.Root()}
	f := s.families[id]
	if f == nil || !f.has(e.Program) {
		return fmt.Errorf("%w: %s", ErrUnknownProgram, e.Program)
	}
	if e.LastUse != nil && *e.LastUse != f.lastAt {
		return fmt.Errorf("%w: %s", ErrInUse, e.Program)
	}
	if e.Program == id.Root {
		delete(s.families, id)
		return nil
	}
	for p := range f.members {
		if isWithin(p, e.Program) {
			delete(f.members, p)
		}
	}
	return nil
}

// has reports whether the family has the program or a sub-agent of it. The root exists as soon as it has a budget.
func (f *family) has(p ids.ProgramID) bool {
	if p == p.Root() {
		return true
	}
	for m := range f.members {
		if isWithin(m, p) {
			return true
		}
	}
	return false
}

func isWithin(p, ancestor ids.ProgramID) bool {
	return p == ancestor || strings.HasPrefix(string(p), string(ancestor)+"/")
}

// touch returns the family of a program, new if needed, and notes its use.
func (s *Slot) touch(at ids.Position, ws ids.WorkspaceID, p ids.ProgramID) *family {
	id := familyID{ws, p.Root()}
	f := s.families[id]
	if f == nil {
		f = &family{members: make(map[ids.ProgramID]*member)}
		s.families[id] = f
	}
	f.lastAt = at
	f.lastUse = s.time.now
	return f
}
