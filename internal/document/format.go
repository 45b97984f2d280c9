package document

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/comfreylink/comfreylink/pkg/config"
)

func writeTemplate(w io.Writer, t config.Template) {
	fmt.Fprintf(w, "[template]\nname = %s\n\n", t.Name)
	fmt.Fprintf(w, "[program]\nmaxTurns = %d\nidleTimeout = %s\ndefaultDeadline = %s\n",
		t.Program.MaxTurns, t.Program.IdleTimeout, t.Program.DefaultDeadline)
	for _, m := range t.Models {
		fmt.Fprintf(w, "\n[model %s]\npool = %s\nmaxInFlight = %d\ndefaultMaxTokens = %d\n",
			m.Model, m.Pool, m.MaxInFlight, m.DefaultMaxTokens)
	}
	for _, s := range t.Services {
		fmt.Fprintf(w, "\n[service %s]\npool = %s\n", s.Name, s.Pool)
		if len(s.IdempotentMethods) > 0 {
			fmt.Fprintf(w, "repeatableMethods = %s\n", strings.Join(s.IdempotentMethods, ", "))
		}
		fmt.Fprintf(w, "public = %t\nchecksFencing = %t\ndeadline = %s\n", s.Public, s.ChecksFencing, s.Deadline)
	}
}

func writeWorkspace(w io.Writer, ws config.Workspace) {
	fmt.Fprintf(w, "[workspace]\nname = %s\ntemplates = %s\n", ws.ID, strings.Join(ws.Templates, ", "))
	fmt.Fprintf(w, "rate = %v\nburst = %d\nbudget = %d\nweight = %d\n", ws.Rate, ws.Burst, ws.Budget, ws.Weight)
	for _, k := range ws.Keys {
		fmt.Fprintf(w, "\n[key %s]\nsha256 = %s\n", k.Label, k.SHA256)
		if !k.ExpiresAt.IsZero() {
			fmt.Fprintf(w, "expiresAt = %s\n", k.ExpiresAt.Format(time.RFC3339Nano))
		}
	}
}
