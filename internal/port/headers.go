package port

// HTTP headers exchanged between a host and an endpoint.
const (
	// HeaderAttempt carries the attempt's ID in the request and the response.
	HeaderAttempt = "Pimentorill-Attempt"
	// HeaderPriority carries Attempt.Priority.
	HeaderPriority = "Pimentorill-Priority"
	// HeaderDeadlineMs carries the time left until the deadline, in milliseconds.
	HeaderDeadlineMs = "Pimentorill-Deadline-Ms"
	// HeaderFence carries the fencing token of the availability zone's lease.
	HeaderFence = "Pimentorill-Fence"
	// HeaderIdempotencyKey carries Attempt.IdempotencyKey.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderResume carries Attempt.ResumeTokens.
	HeaderResume = "Pimentorill-Resume"
	// HeaderLoad carries the endpoint's LoadReport as JSON.
	HeaderLoad = "Pimentorill-Load"
	// HeaderVerdict carries the name of the verdict on a call that the endpoint
	// rejected; see verdict.Verdict.
	HeaderVerdict = "Pimentorill-Verdict"
	// HeaderRetryAfterMs carries the time to wait before the next attempt, in
	// milliseconds.
	HeaderRetryAfterMs = "Pimentorill-Retry-After-Ms"
)
