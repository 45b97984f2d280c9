package scenario_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// limit is the rate and burst of a workspace that apply from a time on.
type limit struct {
	from        time.Time
	rate, burst float64
}

// moment NAME: stores the current time under a name, for windows and ranafter.
func (w *world) moment(_ *reply, args []string) error {
	if err := requireArgs(args, 1, "moment NAME"); err != nil {
		return err
	}
	w.moments[args[0]] = time.Now()
	return nil
}

// windows WORKSPACE RATE/BURST [MOMENT RATE/BURST]...: checks every time window, of any length, for a workspace's runs at the
// services. A window must hold no more runs than the burst at its start plus the rate times its length. Each limit applies
// from the moment that precedes it.
func (w *world) windows(_ *reply, args []string) error {
	const usage = "windows WORKSPACE RATE/BURST [MOMENT RATE/BURST]..."
	if err := requireArgs(args, 2, usage); err != nil {
		return err
	}
	limits, err := w.limitsOf(args[1:])
	if err != nil {
		return err
	}
	arrivals, err := w.arrivalsOf(args[0])
	if err != nil {
		return err
	}
	maxExcess, text := 0.0, "none"
	for i := range arrivals {
		for j := i; j < len(arrivals); j++ {
			// Arrival times are rounded down to a millisecond, so a window can be up to a millisecond longer.
			end := arrivals[j].Add(time.Millisecond)
			if excess := float64(j-i+1) - allowed(limits, arrivals[i], end); i+j == 0 || excess > maxExcess {
				maxExcess = excess
				text = fmt.Sprintf("%d runs in the %s from %s on", j-i+1, end.Sub(arrivals[i]), arrivals[i].Format("15:04:05.000"))
			}
		}
	}
	w.logAtEnd("windows: %d runs of %s; highest excess: %s, %.3f more than allowed", len(arrivals), args[0], text, maxExcess)
	// Floating-point sums are inexact.
	const rounding = 1e-6
	if maxExcess > rounding {
		return fmt.Errorf("%s, %.3f more than allowed; arrivals: %s", text, maxExcess, formatOffsets(arrivals))
	}
	if len(arrivals) == 0 {
		return errors.New("the services ran no request of the workspace")
	}
	return nil
}

// limitsOf parses the limits and moments in the arguments of windows.
func (w *world) limitsOf(args []string) (l []limit, err error) {
	from := time.Time{}
	for i, a := range args {
		if i%2 == 1 {
			if from = w.moments[a]; from.IsZero() {
				return nil, fmt.Errorf("no moment %q", a)
			}
			continue
		}
		r, b, _ := strings.Cut(a, "/")
		rate, err1 := strconv.ParseFloat(r, 64)
		burst, err2 := strconv.ParseFloat(b, 64)
		if err := errors.Join(err1, err2); err != nil {
			return nil, err
		}
		l = append(l, limit{from, rate, burst})
	}
	return l, nil
}

// allowed returns the number of runs that the limits allow in a window.
func allowed(limits []limit, from, to time.Time) (n float64) {
	burst := 0.0
	for i, l := range limits {
		if !l.from.After(from) {
			burst = l.burst
		}
		begin, end := from, to
		if l.from.After(begin) {
			begin = l.from
		}
		if i+1 < len(limits) && limits[i+1].from.Before(end) {
			end = limits[i+1].from
		}
		n += l.rate * max(0, end.Sub(begin).Seconds())
	}
	return n + burst
}

// arrivalsOf returns the arrival times of a workspace's runs at the services, in ascending order.
func (w *world) arrivalsOf(workspace string) (all []time.Time, err error) {
	for _, id := range w.services {
		var r serviceRuns
		if err := w.cluster.Get(id, "/runs", &r); err != nil {
			return nil, err
		}
		for _, run := range r.Runs {
			if run.Workspace == workspace {
				all = append(all, time.UnixMilli(run.ArrivedMs))
			}
		}
	}
	slices.SortFunc(all, time.Time.Compare)
	return all, nil
}

// formatOffsets formats times as milliseconds since the first one.
func formatOffsets(all []time.Time) string {
	var b strings.Builder
	for _, t := range all {
		fmt.Fprintf(&b, "%d ", t.Sub(all[0]).Milliseconds())
	}
	return b.String()
}

// ranafter MOMENT WORKSPACE COUNT: checks that at least COUNT requests of a workspace have arrived at services after a moment.
func (w *world) ranAfter(_ *reply, args []string) error {
	if err := requireArgs(args, 3, "ranafter MOMENT WORKSPACE COUNT"); err != nil {
		return err
	}
	want, err := strconv.Atoi(args[2])
	if err != nil {
		return err
	}
	arrivals, err := w.arrivalsOf(args[1])
	if err != nil {
		return err
	}
	n := 0
	for _, t := range arrivals {
		if t.After(w.moments[args[0]]) {
			n++
		}
	}
	if n < want {
		return fmt.Errorf("%d runs of %s after %s, want at least %d", n, args[1], args[0], want)
	}
	return nil
}

var limitPattern = regexp.MustCompile(`(?m)^(rate|burst)\s*=.*$`)

// limits WORKSPACE RATE BURST: publishes a workspace's current configuration with another rate and burst.
func (w *world) publishLimits(_ *reply, args []string) error {
	if err := requireArgs(args, 3, "limits WORKSPACE RATE BURST"); err != nil {
		return err
	}
	object := "workspace/" + args[0]
	out, err := w.runCLI("--json", "get", "--log", w.cluster.Process("log").Address, object)
	if err != nil {
		return err
	}
	var current struct {
		Revision int64 `json:"revision"`
	}
	if err := json.Unmarshal([]byte(out), &current); err != nil {
		return err
	}
	text, err := w.runCLI("get", "--log", w.cluster.Process("log").Address, object)
	if err != nil {
		return err
	}
	values := map[string]string{"rate": args[1], "burst": args[2]}
	text = limitPattern.ReplaceAllStringFunc(text, func(line string) string {
		name := limitPattern.FindStringSubmatch(line)[1]
		return name + " = " + values[name]
	})
	if err := os.WriteFile(filepath.Join(w.dir, "limits.ini"), []byte(text), 0o600); err != nil {
		return err
	}
	return w.publish(nil, []string{"limits.ini", "--base", strconv.FormatInt(current.Revision, 10)})
}
