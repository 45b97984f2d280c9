package slot

import (
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// Decide returns the records that this instance should append now. Calling it again with the result in View.Pending
// returns none of them a second time.
func (t *Table) Decide(now time.Time, v View) []record.Body {
	return nil
}

// Rebalance returns a slot that this instance should drain and then name in View.Drained, because another live instance
// is preferred for it and owns far fewer slots. It returns ok false if there is none now.
func (t *Table) Rebalance(now time.Time, v View) (s ids.Slot, ok bool) {
	return 0, false
}
