package request

// ClaimState is the ledger's word on a key.
type ClaimState int

// The states of a claim.
const (
	ClaimGranted    ClaimState = iota // this request, and no other, may run
	ClaimReplay                       // the key is finished; its first result is known
	ClaimInProgress                   // another attempt holds the claim
	ClaimMismatch                     // the key was used with another body
	ClaimInDoubt                      // an earlier attempt may have run; nobody can know
	ClaimRefused                      // the key is tombstoned: it never ran and never will
)
