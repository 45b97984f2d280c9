package ids_test

import (
	"fmt"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Guards against a sub-agent that belongs to another slot than its program, where it would have another owner and budget.
func ExampleSlotOf() {
	parent := ids.SlotOf("akwaaba", "order-7", 64)
	child := ids.SlotOf("akwaaba", "order-7/preview", 64)
	fmt.Println(parent == child)
	// Output: true
}
