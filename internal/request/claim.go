package request

// Claim is the ledger's answer to an attempt to claim a key.
type Claim struct {
	State  ClaimState
	Result Result // with ClaimReplay
}
