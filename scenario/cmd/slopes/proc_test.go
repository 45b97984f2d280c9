package main

import (
	"os"
	"syscall"
	"testing"
	"time"
)

// Guards against reading a wrong field of /proc, or using a wrong unit.
func TestOwnProcessInProc(t *testing.T) {
	for ownTime(t) < 100*time.Millisecond {
	}
	took, err := processorOf(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	// Both clocks count from the start of the process. /proc counts user and system time separately, each in hundredths of a
	// second.
	if d := ownTime(t) - took; d < -30*time.Millisecond || d > 60*time.Millisecond {
		t.Errorf("the processor times from /proc and from getrusage differ by %s", d)
	}
	resident, err := residentOf(os.Getpid())
	if err != nil || resident < 1e6 || resident > 1e10 {
		t.Errorf("resident memory is %g bytes, error %v", resident, err)
	}
}

// ownTime returns the processor time that the test process has used.
func ownTime(t *testing.T) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
