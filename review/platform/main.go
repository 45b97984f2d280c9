// Command standin holds the stand-ins and the scripts of the review. "standin store" and "standin worker" are processes of
// the users' platform; "standin play NAME" starts them together with gateways and plays one case.
package main

import (
	"fmt"
	"os"
)

// Exit codes of "standin play".
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin store|worker|play [flags]")
		os.Exit(exitNotRun)
	}
	var err error
	switch args := os.Args[2:]; os.Args[1] {
	case "store":
		err = runStore(args)
	case "worker":
		err = runWorker(args)
	case "play":
		os.Exit(play(args))
	default:
		err = fmt.Errorf("unknown command %q", os.Args[1])
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
}
