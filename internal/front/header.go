package front

// Header fields of callers' requests and of the responses to them.
const (
	headerTeam      = "Persimmonbay-Team"
	headerClass     = "Persimmonbay-Class"
	headerTimeout   = "Persimmonbay-Timeout" // milliseconds
	headerKey       = "Idempotency-Key"
	headerOutcome   = "Persimmonbay-Outcome"
	headerRequestID = "Persimmonbay-Request-Id"
	headerReplayed  = "Persimmonbay-Replayed"
)

// entryFields are the request header fields that the entry does not forward to
// upstreams.
var entryFields = map[string]bool{headerKey: true, headerRequestID: true, headerOutcome: true, headerReplayed: true}
