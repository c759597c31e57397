package port

import "time"

// AuditKind is the category of an audit record.
type AuditKind string

// Categories of audit records.
const (
	AuditRelease    AuditKind = "release"
	AuditOrder      AuditKind = "order"
	AuditLease      AuditKind = "lease"
	AuditQuarantine AuditKind = "quarantine"
	AuditOperator   AuditKind = "operator"
)

// AuditRecord describes one action: its actor, subject, time, outcome and the
// release version in force.
type AuditRecord struct {
	ID      string    `json:"id"`
	Time    time.Time `json:"time"`
	Host    string    `json:"host"`
	Kind    AuditKind `json:"kind"`
	Actor   string    `json:"actor"`
	Subject string    `json:"subject"`
	Action  string    `json:"action"`
	Version uint64    `json:"version"`
	Outcome string    `json:"outcome"`
}

// Audit is the audit trail. Record does not block and is safe for concurrent
// use; records are buffered in memory until they can be stored.
type Audit interface {
	Record(r AuditRecord)
}
