package front

// Headers of callers' requests and answers.
const (
	headerTeam      = "Persimmonbay-Team"
	headerClass     = "Persimmonbay-Class"
	headerTimeout   = "Persimmonbay-Timeout" // milliseconds
	headerKey       = "Idempotency-Key"
	headerOutcome   = "Persimmonbay-Outcome"
	headerRequestID = "Persimmonbay-Request-Id"
	headerReplayed  = "Persimmonbay-Replayed"
)

// ownFields are request header fields that are the entry's own business.
var ownFields = map[string]bool{headerKey: true, headerRequestID: true, headerOutcome: true, headerReplayed: true}
