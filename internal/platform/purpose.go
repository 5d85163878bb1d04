package platform

// Purpose is the part of the system for which a call to the platform is made.
// Calls are counted by purpose.
type Purpose string

// The purposes.
const (
	PurposeMembership    Purpose = "membership"
	PurposeConfiguration Purpose = "configuration"
	PurposeInstances     Purpose = "instances"
	PurposeLedger        Purpose = "ledger"
	PurposeSlots         Purpose = "slots"
	PurposePools         Purpose = "pools"
	PurposeWaves         Purpose = "waves"
	PurposeJobs          Purpose = "jobs"
)
