package scenario_test

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// spent WORKSPACE PROGRAM BUDGET: checks that the engines ran no more tokens for a root program and its sub-agents than its
// budget, and some.
func (w *world) spent(_ *reply, args []string) error {
	if err := need(args, 3, "spent WORKSPACE PROGRAM BUDGET"); err != nil {
		return err
	}
	budget, err := strconv.Atoi(args[2])
	if err != nil {
		return err
	}
	sum, runs := 0, 0
	for _, id := range w.engines {
		var r engineRuns
		if err := w.cluster.Get(id, "/runs", &r); err != nil {
			return err
		}
		for _, run := range r.Runs {
			if run.Workspace == args[0] && string(ids.ProgramID(run.Program).Root()) == args[1] {
				sum += run.Prompt + run.Generated
				runs++
			}
		}
	}
	w.note("spent: %s used %d of %d tokens in %d runs", args[1], sum, budget, runs)
	if sum > budget || runs == 0 {
		return fmt.Errorf("the engines ran %d tokens in %d runs, the budget is %d", sum, runs, budget)
	}
	return nil
}

// cachedPrograms returns the programs that engines hold cache entries for.
func (w *world) cachedPrograms() (programs []string, err error) {
	for _, id := range w.engines {
		var list struct {
			Entries []struct {
				Program string `json:"program"`
			} `json:"entries"`
		}
		if err := w.cluster.Get(id, "/v1/cache", &list); err != nil {
			return nil, err
		}
		for _, e := range list.Entries {
			programs = append(programs, e.Program)
		}
	}
	return programs, nil
}

// cached PROGRAM...: checks that engines hold entries of programs.
func (w *world) cached(_ *reply, args []string) error {
	held, err := w.cachedPrograms()
	if err != nil {
		return err
	}
	for _, p := range args {
		if !slices.Contains(held, p) {
			return fmt.Errorf("no engine holds an entry of %s: %v", p, held)
		}
	}
	return nil
}

// uncached PROGRAM...: checks that no engine holds an entry of programs.
func (w *world) uncached(_ *reply, args []string) error {
	held, err := w.cachedPrograms()
	if err != nil {
		return err
	}
	for _, p := range args {
		if slices.Contains(held, p) {
			return fmt.Errorf("an engine holds an entry of %s: %v", p, held)
		}
	}
	return nil
}

// died COUNT: checks how many engines have ended by themselves; a range is MIN..MAX.
func (w *world) died(_ *reply, args []string) error {
	if err := need(args, 1, "died COUNT"); err != nil {
		return err
	}
	low, high, isRange := strings.Cut(args[0], "..")
	if !isRange {
		high = low
	}
	least, err1 := strconv.Atoi(low)
	most, err2 := strconv.Atoi(high)
	n := 0
	for _, id := range w.engines {
		if !w.running(id) {
			n++
		}
	}
	if n < least || n > most {
		return errors.Join(err1, err2, fmt.Errorf("%d engines died, want %s", n, args[0]))
	}
	return errors.Join(err1, err2)
}

// fenced SERVICE: checks that a service refused a request with an older fencing number, and that the numbers of its runs
// never go back.
func (w *world) fenced(_ *reply, args []string) error {
	if err := need(args, 1, "fenced SERVICE"); err != nil {
		return err
	}
	var r serviceRuns
	if err := w.cluster.Get(args[0], "/runs", &r); err != nil {
		return err
	}
	last := int64(0)
	for _, run := range r.Runs {
		if run.Fence < last {
			return fmt.Errorf("%s ran key %s with fencing number %d after %d", args[0], run.Key, run.Fence, last)
		}
		last = run.Fence
	}
	if r.Refused == 0 {
		return fmt.Errorf("%s refused nothing", args[0])
	}
	return nil
}

// spentOut DAEMON PROGRAM: checks that a call of a program of kumasi-prints is refused because its budget is spent.
func (w *world) spentOut(_ *reply, args []string) error {
	var r reply
	if err := w.chat(&r, []string{args[0], args[1], fmt.Sprintf("more-%d", time.Now().UnixNano()), "more", "as=small", "tokens=8"}); err != nil {
		return err
	}
	return wantCode(r, "budgetExceeded")
}

// quarantinedAt DAEMON KEY: checks that the request with the text poison is refused as quarantined.
func (w *world) quarantinedAt(_ *reply, args []string) error {
	var r reply
	if err := w.chat(&r, []string{args[0], "-", args[1], "poison"}); err != nil {
		return err
	}
	return wantCode(r, "quarantined")
}

func wantCode(r reply, code string) error {
	if r.broken != nil || r.answer.Error == nil || r.answer.Error.Code != code {
		return fmt.Errorf("want %s: %s", code, &r)
	}
	return nil
}
