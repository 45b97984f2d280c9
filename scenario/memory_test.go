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

// spent WORKSPACE PROGRAM BUDGET: checks that the engines processed tokens for a root program and its sub-agents, and not more
// than the budget.
func (w *world) spent(_ *reply, args []string) error {
	if err := requireArgs(args, 3, "spent WORKSPACE PROGRAM BUDGET"); err != nil {
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
	w.logAtEnd("spent: %s used %d of %d tokens in %d runs", args[1], sum, budget, runs)
	if sum > budget || runs == 0 {
		return fmt.Errorf("the engines processed %d tokens in %d runs, the budget is %d", sum, runs, budget)
	}
	return nil
}

// cachedPrograms returns the program of each cache entry of the engines.
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

// cached PROGRAM...: checks that the engines hold cache entries for each of the programs.
func (w *world) cached(_ *reply, args []string) error {
	held, err := w.cachedPrograms()
	if err != nil {
		return err
	}
	for _, p := range args {
		if !slices.Contains(held, p) {
			return fmt.Errorf("no engine holds a cache entry for %s, only for %v", p, held)
		}
	}
	return nil
}

// uncached PROGRAM...: checks that no engine holds cache entries for any of the programs.
func (w *world) uncached(_ *reply, args []string) error {
	held, err := w.cachedPrograms()
	if err != nil {
		return err
	}
	for _, p := range args {
		if slices.Contains(held, p) {
			return fmt.Errorf("an engine holds a cache entry for %s; programs with entries: %v", p, held)
		}
	}
	return nil
}

// died COUNT: checks how many engine processes have ended. COUNT may be a range, MIN..MAX.
func (w *world) died(_ *reply, args []string) error {
	if err := requireArgs(args, 1, "died COUNT"); err != nil {
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
		return errors.Join(err1, err2, fmt.Errorf("%d engines have ended, want %s", n, args[0]))
	}
	return errors.Join(err1, err2)
}

// fenced SERVICE: checks that a service refused at least one request for its fencing number, and that the fencing numbers of its
// runs never decrease.
func (w *world) fenced(_ *reply, args []string) error {
	if err := requireArgs(args, 1, "fenced SERVICE"); err != nil {
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
		return fmt.Errorf("%s refused no request", args[0])
	}
	return nil
}

// spentout DAEMON PROGRAM: makes a call of a program with the key small, which belongs to kumasi-prints, and checks that it is
// refused because the budget is spent.
func (w *world) spentOut(_ *reply, args []string) error {
	var r reply
	if err := w.chat(&r, []string{args[0], args[1], fmt.Sprintf("more-%d", time.Now().UnixNano()), "more", "as=small", "tokens=8"}); err != nil {
		return err
	}
	return wantCode(r, "budgetExceeded")
}

// quarantinedat DAEMON KEY: sends a call with the text poison and a request key, and checks that it is refused as quarantined.
func (w *world) quarantinedAt(_ *reply, args []string) error {
	var r reply
	if err := w.chat(&r, []string{args[0], "-", args[1], "poison"}); err != nil {
		return err
	}
	return wantCode(r, "quarantined")
}

// wantCode checks the error code of a reply.
func wantCode(r reply, code string) error {
	if r.broken != nil || r.answer.Error == nil || r.answer.Error.Code != code {
		return fmt.Errorf("want the error code %s: %s", code, &r)
	}
	return nil
}
