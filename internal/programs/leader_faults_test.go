package programs_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/internal/programs"
)

// Guards against a turn that is refused although the budget allows it: the settlement of the turn before it reaches the
// leader with the new reservation.
func TestSettlementMakesRoomForReservation(t *testing.T) {
	c := qt.New(t)
	f := newFleet(2)
	for i := range 3 {
		r, err := reserve(f.stores[1], fmt.Sprint("t", i), 100, 40)
		c.Assert(err, qt.IsNil, qt.Commentf("turn %d", i))
		r.Settle(30)
	}
	_, err := reserve(f.stores[1], "t3", 100, 40)
	c.Assert(err, qt.ErrorIs, programs.ErrBudgetExceeded)
}
