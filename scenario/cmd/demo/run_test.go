package main

import (
	"testing"
	"time"
)

const limit = 2 * time.Minute

// Guards against the README's command not ending by itself, or failing when two daemons die in the middle of a program.
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
