package reports

import (
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/events"
)

// Operations of Run in event reportFailed.
const (
	operationReport = "report"
	operationClaim  = "claim"
)

// logResult logs a failed operation that began at a time, with how often it has failed in a row. Only Run uses it.
func (r *Reports) logResult(operation string, began time.Time, err error, fields ...zap.Field) {
	if err == nil {
		delete(r.failed, operation)
		return
	}
	r.failed[operation]++
	fields = append(fields, zap.String("operation", operation), zap.Duration("waited", r.Now().Sub(began)),
		zap.Int("failures", r.failed[operation]), zap.Error(err))
	events.Log(r.Logger, events.ReportFailed, fields...)
}
