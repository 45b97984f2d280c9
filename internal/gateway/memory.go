package gateway

import "github.com/comfreylink/comfreylink/internal/httpwire"

const (
	// answerMemoryShare is the share of the process's memory that the bodies of answers in progress may hold together, and
	// defaultAnswerMemory what they may hold in a process without a memory limit.
	answerMemoryShare   = 0.125
	defaultAnswerMemory = 64 << 20
)

// newAnswerMemory returns the limit for the bodies of answers. processBytes is the memory limit of the process; 0 for none.
func newAnswerMemory(processBytes int64) *httpwire.MemoryLimit {
	if processBytes == 0 {
		return httpwire.NewMemoryLimit(defaultAnswerMemory)
	}
	return httpwire.NewMemoryLimit(int64(answerMemoryShare * float64(processBytes)))
}
