package programs_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/partlog/partlogtest"
)

// Guards against a budget that stays reserved: the answer to the append was lost, the log then was unavailable, and the
// reservation counted as not written.
func TestReservationOfUnknownOutcomeIsSettled(t *testing.T) {
	c := qt.New(t)
	f := newFleet(1)
	f.log.SetFault(func(call int) partlogtest.Fault {
		switch call {
		case 0: // the first read
			return partlogtest.Fault{}
		case 1:
			return partlogtest.Fault{Err: partlog.ErrOutcomeUnknown, Applied: true}
		}
		return partlogtest.Fault{Err: unavailable}
	})
	_, err := reserve(f.stores[0], "t0", 100, 60)
	c.Assert(err, qt.IsNotNil)
	c.Assert(errors.Is(err, partlog.ErrNotApplied), qt.IsFalse, qt.Commentf("%v", err))
	f.log.SetFault(nil)
	var granted bool
	for end := time.Now().Add(3 * time.Second); !granted && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := reserve(f.stores[0], fmt.Sprint("t", time.Now().UnixNano()), 100, 60)
		if granted = err == nil; granted {
			r.Settle(0)
		}
	}
	c.Assert(granted, qt.IsTrue)
}
