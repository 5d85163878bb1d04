package ledger

import "github.com/cespare/xxhash/v2"

// Attempt identifies one attempt to run the work under a key: one request at
// one entry. A claimant recognizes its own claim by it when the response to the
// write was lost.
type Attempt uint64

// AttemptOf returns the attempt of the request with this ID.
func AttemptOf(requestID string) Attempt { return Attempt(xxhash.Sum64String(requestID)) }
