package ledger

import "github.com/cespare/xxhash/v2"

// Attempt names one attempt at a key: one request at one entry. It is how a
// claimant knows its own claim when the answer to the write was lost.
type Attempt uint64

// AttemptOf returns the attempt of the request with this ID.
func AttemptOf(requestID string) Attempt { return Attempt(xxhash.Sum64String(requestID)) }
