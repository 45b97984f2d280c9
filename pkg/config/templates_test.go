package config_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/config"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

const smallTemplate = `{"models":[{"model":"m","pool":"p","maxInFlight":8,"defaultMaxTokens":256}],` +
	`"program":{"maxTurns":5,"idleTimeout":"1m","defaultDeadline":"10s"}}`

// Guards against a list that lacks templates or contains removed ones, and against an order that differs between
// daemons.
func TestTemplates(t *testing.T) {
	c := qt.New(t)
	catalog := config.New()
	for i, name := range []string{"b", "c", "a"} {
		c.Assert(publish(catalog, int64(i), "template/"+name, ids.NoRevision, smallTemplate), qt.IsNil)
	}
	c.Assert(publish(catalog, 3, "template/c", 1, `null`), qt.IsNil)
	var names []string
	for _, found := range catalog.Current().Templates() {
		names = append(names, found.Name)
	}
	c.Assert(names, qt.DeepEquals, []string{"a", "b"})
}

// BenchmarkTemplates measures the listing of all templates, which each daemon does every two seconds.
func BenchmarkTemplates(b *testing.B) {
	for _, workspaces := range []int{400, 1600, 3200} {
		catalog := config.New()
		if err := publish(catalog, 0, "template/t", ids.NoRevision, smallTemplate); err != nil {
			b.Fatal(err)
		}
		for i := range workspaces {
			err := publish(catalog, int64(i+1), fmt.Sprintf("workspace/w%04d", i), ids.NoRevision, `{"templates":["t"],"rate":10,"burst":20,"budget":400000,"weight":1}`)
			if err != nil {
				b.Fatal(err)
			}
		}
		b.Run(fmt.Sprintf("templates/workspaces=%d", workspaces), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				catalog.Current().Templates()
			}
		})
		b.Run(fmt.Sprintf("objects/workspaces=%d", workspaces), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				catalog.Current().Objects()
			}
		})
	}
}
