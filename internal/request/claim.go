package request

// Claim is the ledger's reply to a request that claims a key.
type Claim struct {
	State  ClaimState
	Result Result // the first result, in state ClaimReplay
}
