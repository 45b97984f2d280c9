package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/comfreylink/comfreylink/scenario/cluster"
)

// clockTicks is the number of ticks a second in which /proc counts processor time, the constant USER_HZ of Linux.
const clockTicks = 100

// sample is one measurement of a daemon: its processor time since its start, its current resident memory and its metrics.
type sample struct {
	processor time.Duration
	resident  float64 // bytes
	metrics   map[string]float64
}

// sampleOf takes a sample of a running daemon.
func sampleOf(c *cluster.Cluster, name string) (s sample, err error) {
	p := c.Process(name)
	if s.processor, err = processorOf(p.PID()); err != nil {
		return s, err
	}
	if s.resident, err = residentOf(p.PID()); err != nil {
		return s, err
	}
	admin, err := adminOf(filepath.Join(c.Dir, name+".ini"))
	if err != nil {
		return s, err
	}
	s.metrics, err = metricsOf(admin)
	return s, err
}

// processorOf returns the user and system time that a process has used since its start.
func processorOf(pid int) (d time.Duration, err error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The second field is the name in parentheses, which may contain spaces. User and system time are the 14th and 15th
	// fields; the indexes count from the third.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	const user, system = 14 - 3, 15 - 3
	if len(fields) <= system {
		return 0, fmt.Errorf("the stat line of process %d in /proc has too few fields", pid)
	}
	for _, i := range []int{user, system} {
		ticks, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return 0, err
		}
		d += time.Duration(ticks) * time.Second / clockTicks
	}
	return d, nil
}

// residentOf returns the resident memory of a process.
func residentOf(pid int) (bytes float64, err error) {
	text, err := cluster.ResidentMemory(pid)
	if err != nil {
		return 0, err
	}
	number, _, _ := strings.Cut(text, " ")
	kib, err := strconv.ParseFloat(number, 64)
	return kib * 1024, err
}

// adminOf returns the admin address in a daemon's settings file.
func adminOf(file string) (address string, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "admin = "); ok {
			return strings.TrimSpace(value), nil
		}
	}
	return "", fmt.Errorf("the settings file %s has no admin address", file)
}

// metricsOf returns the values of a daemon's metrics, keyed by name and labels as they are scraped.
func metricsOf(admin string) (all map[string]float64, err error) {
	resp, err := http.Get("http://" + admin + "/metrics")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	all = map[string]float64{}
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		line := scanner.Text()
		i := strings.LastIndexByte(line, ' ')
		if strings.HasPrefix(line, "#") || i < 0 {
			continue
		}
		if v, err := strconv.ParseFloat(line[i+1:], 64); err == nil {
			all[line[:i]] = v
		}
	}
	return all, scanner.Err()
}

// sum returns the sum of the metrics whose name and labels contain every part.
func (s sample) sum(parts ...string) (v float64) {
next:
	for name, x := range s.metrics {
		for _, p := range parts {
			if !strings.Contains(name, p) {
				continue next
			}
		}
		v += x
	}
	return v
}
