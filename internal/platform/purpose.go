package platform

// Purpose says what a call to the platform is for; calls are counted by it.
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
