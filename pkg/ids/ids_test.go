package ids_test

import (
	"fmt"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// A sub-agent belongs to the slot of its root program. In another slot it would have another owner and budget.
func ExampleSlotOf() {
	parent := ids.SlotOf("akwaaba", "order-7", 64)
	child := ids.SlotOf("akwaaba", "order-7/preview", 64)
	fmt.Println(parent == child)
	// Output: true
}
