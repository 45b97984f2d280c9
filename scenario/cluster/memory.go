package cluster

import (
	"fmt"
	"os"
	"strings"
)

// ResidentMemory returns the resident memory of a process in the kernel's format, such as "14300 kB".
func ResidentMemory(pid int) (rss string, err error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			return strings.TrimSpace(value), nil
		}
	}
	return "", fmt.Errorf("/proc/%d/status has no VmRSS line", pid)
}
