package main

import (
	"os"
	"syscall"
	"testing"
	"time"
)

// Guards against the wrong field of /proc, or the wrong unit.
func TestOwnProcessInProc(t *testing.T) {
	for ownTime(t) < 100*time.Millisecond {
	}
	took, err := processorOf(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	// Both clocks count from the start of the process; /proc counts in hundredths of a second, in two fields.
	if d := ownTime(t) - took; d < -30*time.Millisecond || d > 60*time.Millisecond {
		t.Errorf("/proc and the kernel's count differ by %s", d)
	}
	resident, err := residentOf(os.Getpid())
	if err != nil || resident < 1e6 || resident > 1e10 {
		t.Errorf("%g bytes resident, %v", resident, err)
	}
}

func ownTime(t *testing.T) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
