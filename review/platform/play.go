package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// scenario plays one case. It reports whether the rule held. With trouble false it leaves the disruption out.
type scenario func(w *world, trouble bool) (held bool, err error)

var scenarios = map[string]scenario{
	"reload-while-stopping": reloadWhileStopping,
	"old-chain":             oldChain,
	"limit-after-stop":      limitAfterStop,
	"crash-after-restart":   crashAfterRestart,
	"crash-in-stream":       crashInStream,
	"crash-same-id":         crashSameID,
}

// play plays the named case and returns the exit code.
func play(args []string) int {
	flags := flag.NewFlagSet("play", flag.ContinueOnError)
	caseDir := flags.String("dir", "", "folder of the case, for record.txt")
	if err := flags.Parse(args); err != nil || flags.NArg() != 1 || scenarios[flags.Arg(0)] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin play --dir FOLDER NAME")
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	w, err := newWorld(dir, *caseDir)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-ended
		w.close()
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("case %s, disruption %v, logs in %s", flags.Arg(0), trouble, filepath.Base(dir))
	held, err := scenarios[flags.Arg(0)](w, trouble)
	switch {
	case err != nil:
		w.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case held:
		w.note("the rule held")
		return exitHeld
	}
	w.note("the rule was broken")
	return exitBroken
}
