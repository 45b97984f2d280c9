package members_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/internal/instancelist"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/member"
	"github.com/comfreylink/comfreylink/pkg/slot"
)

// noticeWithin is the longest time until all instances notice a failure. An earlier design probed every peer each 500 ms
// and counted it as live for 2 s; the rest of the time allows for the race detector on a busy machine.
const noticeWithin = 5 * time.Second

// answers returns how many of the runs believe that a writer answers.
func answers(runs []*run, w ids.WriterID) (n int) {
	for _, r := range runs {
		if r.Answers(time.Now(), w) {
			n++
		}
	}
	return n
}

func without(runs []*run, r *run) []*run {
	return slices.DeleteFunc(slices.Clone(runs), func(o *run) bool { return o == r })
}

// Guards against a killed instance that counts as live.
func TestKilled(t *testing.T) {
	net, runs := newNetwork(t, 12)
	victim, others := runs[3], without(runs, runs[3])
	victim.kill()
	took := net.eventually(noticeWithin, "the killed instance does not answer", func() bool {
		return answers(others, victim.self.Writer) == 0
	})
	t.Logf("noticed by all after %v", took)
	for _, r := range others {
		net.c.Check(r.Live(time.Now()), qt.HasLen, 11)
	}
}

// Guards against a paused instance that counts as live, calls to it that hang, and a resumed instance that goes unnoticed.
func TestPaused(t *testing.T) {
	net, runs := newNetwork(t, 12)
	victim, others := runs[3], without(runs, runs[3])
	victim.pause()
	took := net.eventually(noticeWithin, "the paused instance does not answer", func() bool {
		return answers(others, victim.self.Writer) == 0
	})
	t.Logf("noticed by all after %v", took)
	net.eventually(time.Second, "connections to the paused instance are dropped", func() bool {
		net.mu.Lock()
		defer net.mu.Unlock()
		return !slices.ContainsFunc(others, func(r *run) bool { return !slices.Contains(r.dropped, victim.self.Instance) })
	})
	victim.resume()
	net.eventually(noticeWithin, "the resumed instance answers", func() bool {
		return answers(others, victim.self.Writer) == 11
	})
	for _, r := range others {
		net.c.Check(answers([]*run{victim}, r.self.Writer), qt.Equals, 1)
	}
}

// Guards against an earlier run of a restarted instance that counts as answering or still has an address.
func TestRestarted(t *testing.T) {
	net, runs := newNetwork(t, 12)
	victim, others := runs[3], without(runs, runs[3])
	victim.kill()
	again := net.start(victim.self.Instance)
	net.eventually(noticeWithin, "the new run answers and the old one does not", func() bool {
		return answers(others, again.self.Writer) == 11 && answers(others, victim.self.Writer) == 0
	})
	for _, r := range others {
		_, ok := r.Address(victim.self.Writer)
		net.c.Check(ok, qt.Equals, false)
		net.c.Check(slices.Contains(r.Live(time.Now()), again.self), qt.Equals, true)
		net.c.Check(slices.Contains(r.Live(time.Now()), victim.self), qt.Equals, false)
	}
	net.eventually(noticeWithin, "the new run knows all others", func() bool { return len(again.Live(time.Now())) == 12 })
}

// Guards against an instance in a planned stop, known from itself or from the list, that counts as live or as one that
// does not answer.
func TestLeaving(t *testing.T) {
	net, runs := newNetwork(t, 12)
	one, other, rest := runs[3], runs[5], without(without(runs, runs[3]), runs[5])
	net.mu.Lock()
	one.leaving = true
	for i := range net.list {
		if net.list[i].ID == string(other.self.Instance) {
			net.list = slices.Clone(net.list)
			net.list[i].State = instancelist.Leaving
		}
	}
	net.mu.Unlock()
	one.Leave()
	net.eventually(2*time.Second, "the leaving instances are not live", func() bool {
		return !slices.ContainsFunc(rest, func(r *run) bool { return len(r.Live(time.Now())) != 10 })
	})
	net.c.Check(slices.ContainsFunc(one.Live(time.Now()), func(m slot.Member) bool { return m == one.self }), qt.Equals, false)
	net.c.Check(answers(rest, one.self.Writer), qt.Equals, 10)
	net.c.Check(answers(rest, other.self.Writer), qt.Equals, 10)
}

// Guards against a list outage that hides a failure or makes members of the last list unreachable.
func TestListOutage(t *testing.T) {
	net, runs := newNetwork(t, 6)
	net.mu.Lock()
	net.listDown = true
	net.mu.Unlock()
	victim, others := runs[3], without(runs, runs[3])
	victim.kill()
	net.eventually(noticeWithin, "the killed instance does not answer", func() bool {
		return answers(others, victim.self.Writer) == 0
	})
	for _, r := range others {
		net.c.Check(r.Live(time.Now()), qt.HasLen, 5)
	}
}

// Guards against dropping an instance that still answers but is no longer listed, and against keeping it after it dies.
func TestListLag(t *testing.T) {
	net, runs := newNetwork(t, 6)
	early, others := runs[3], without(runs, runs[3])
	net.mu.Lock()
	net.unlist(early.self.Instance)
	net.mu.Unlock()
	time.Sleep(time.Second)
	net.c.Check(answers(others, early.self.Writer), qt.Equals, 5)
	for _, r := range others {
		_, ok := r.Address(early.self.Writer)
		net.c.Check(ok, qt.Equals, true)
	}
	early.kill()
	net.eventually(2*noticeWithin, "the killed instance is forgotten", func() bool {
		return !slices.ContainsFunc(others, func(r *run) bool {
			_, known := r.AddressOf(early.self.Instance)
			return known || r.Answers(time.Now(), early.self.Writer)
		})
	})
}

// Guards against a failed request that has no effect at an instance that does not probe the owner itself, and against one
// that counts as proof of a failure.
func TestUnreachable(t *testing.T) {
	net, runs := newNetwork(t, 12)
	victim, others := runs[3], without(runs, runs[3])
	others[0].ReportUnreachable(victim.self.Writer)
	time.Sleep(time.Second)
	net.c.Check(answers(others, victim.self.Writer), qt.Equals, 11)
	victim.kill()
	others[0].ReportUnreachable(victim.self.Writer)
	took := net.eventually(2*time.Second, "the killed instance does not answer", func() bool {
		return answers(others[:1], victim.self.Writer) == 0
	})
	t.Logf("noticed after %v", took)
}

// Guards against owners that continue without a statement of no contact from every other instance, and against owners
// that stop in a log outage although they have one from each.
func TestNoLogContactSince(t *testing.T) {
	const (
		// rounding is the most that is added to the age of a statement at each instance that passes it on.
		rounding = 700 * time.Millisecond
		// earlyBound is for a statement that has passed through all other instances on its way to the last one.
		earlyBound = 4 * rounding
	)
	net, runs := newNetwork(t, 6)
	all := func() (n int) {
		for _, r := range runs {
			if since, all := r.NoLogContactSince(time.Now()); all && time.Since(since) < 9500*time.Millisecond {
				n++
			}
		}
		return n
	}
	net.c.Check(all(), qt.Equals, 0)
	began := time.Now()
	net.mu.Lock()
	net.logDown = true
	net.mu.Unlock()
	net.eventually(2*noticeWithin, "all know of all others", func() bool { return all() == 6 })
	for _, r := range runs {
		since, _ := r.NoLogContactSince(time.Now())
		net.c.Check(since.After(began.Add(-earlyBound)), qt.Equals, true, qt.Commentf("%v before the outage", began.Sub(since)))
		net.eventually(noticeWithin, "the time is exact to a second", func() bool {
			since, all := r.NoLogContactSince(time.Now())
			return all && since.After(began.Add(-time.Second))
		})
		net.eventually(2*noticeWithin, "all admit because nobody has contact", func() bool {
			return r.Admit(time.Now(), 5*time.Second) == member.NobodyHasContact
		})
	}
	net.mu.Lock()
	net.logDown = false
	net.mu.Unlock()
	net.eventually(2*noticeWithin, "no instance continues without the log", func() bool { return all() == 0 })
}
