package quota

// Proposal is a change of a team's account, to be written under the revision that was read.
type Proposal struct {
	Team     string
	Account  Account
	Revision int64 // of the account that it replaces; 0: there is none
}
