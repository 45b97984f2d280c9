package main

import (
	"testing"
	"time"
)

// limit is the longest time that a demo may take.
const limit = 2 * time.Minute

// Guards against a demo, as started by the command in the README, that does not end by itself or that fails when two daemons
// are killed in the middle of the program.
func TestDemo(t *testing.T) {
	t.Chdir("../../..")
	for name, kill := range map[string]bool{"whole": false, "kill": true} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan error, 1)
			go func() { ended <- run(t.Context(), kill) }()
			select {
			case err := <-ended:
				if err != nil {
					t.Fatal(err)
				}
			case <-time.After(limit):
				t.Fatalf("the demo did not end within %s", limit)
			}
		})
	}
}
