package reports

import "github.com/comfreylink/comfreylink/internal/partlog"

// Uses reports whether a partition holds reports.
func Uses(p partlog.Partition) bool { return p == partition }
