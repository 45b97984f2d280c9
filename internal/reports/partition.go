package reports

import "github.com/comfreylink/comfreylink/internal/partlog"

// IsPartition reports whether a partition is the one that holds reports.
func IsPartition(p partlog.Partition) bool { return p == partition }
