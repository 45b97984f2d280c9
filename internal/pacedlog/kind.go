package pacedlog

import (
	"context"

	"github.com/comfreylink/comfreylink/pkg/logpace"
)

type kindKey struct{}

// WithKind returns a context whose calls to the log have a kind.
func WithKind(ctx context.Context, k logpace.Kind) context.Context {
	return context.WithValue(ctx, kindKey{}, k)
}

// KindOf returns the kind of a context's calls, which is logpace.Reservation by default.
func KindOf(ctx context.Context) logpace.Kind {
	k, _ := ctx.Value(kindKey{}).(logpace.Kind)
	return k
}
