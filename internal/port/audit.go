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

// AuditRecord describes one action and its outcome.
type AuditRecord struct {
	// ID is unique across all hosts.
	ID   string    `json:"id"`
	Time time.Time `json:"time"`
	// Host is the ID of the host that wrote the record.
	Host string    `json:"host"`
	Kind AuditKind `json:"kind"`
	// Actor is the operator or the ID of the host that took the action.
	Actor string `json:"actor"`
	// Subject is what the action applies to: a release note, an endpoint, an
	// availability zone or the fingerprint of a request.
	Subject string `json:"subject"`
	Action  string `json:"action"`
	// Version is the release version that the action belongs to, 0 if none.
	Version uint64 `json:"version"`
	Outcome string `json:"outcome"`
}

// Audit is the audit trail. Record does not block and is safe for concurrent
// use; records are buffered in memory until they can be stored.
type Audit interface {
	Record(r AuditRecord)
}
