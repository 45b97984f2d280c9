package reports

import "github.com/comfreylink/comfreylink/internal/partlog"

// IsPartition reports whether a partition holds reports or what was known of requests that crash targets. Neither has bodies.
func IsPartition(p partlog.Partition) bool { return p == Partition || p == crashPartition }

// Partition holds the reports of all instances.
var Partition = partlog.Partition{Topic: "reports"}
