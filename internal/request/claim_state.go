package request

// ClaimState is the state of a key as the ledger reports it to a claim.
type ClaimState int

// The states of a claim.
const (
	ClaimGranted    ClaimState = iota // only the claiming request may run
	ClaimReplay                       // the key is finished; its first result is known
	ClaimInProgress                   // another attempt holds the claim
	ClaimMismatch                     // the key was used with another request
	ClaimInDoubt                      // an earlier attempt may have run; its outcome cannot be determined
	ClaimRefused                      // the key is tombstoned: it never ran and never will
)
