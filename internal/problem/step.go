package problem

// Step names the operation in which an Error arose.
type Step string

// The steps of requests, of entries and of maintenance.
const (
	StepSettings      Step = "settings"
	StepConfiguration Step = "configuration"
	StepListen        Step = "listen"
	StepParse         Step = "parse"
	StepAuthorize     Step = "authorize"
	StepClaim         Step = "claim"
	StepAdmit         Step = "admit"
	StepRoute         Step = "route"
	StepConnect       Step = "connect"
	StepSend          Step = "send"
	StepReceive       Step = "receive"
	StepStoreRead     Step = "store-read"
	StepStoreWrite    Step = "store-write"
	StepStoreWatch    Step = "store-watch"
	StepLease         Step = "lease"
	StepInstances     Step = "instances"
	StepPeerCall      Step = "peer-call"
	StepPlan          Step = "plan"
	StepReboot        Step = "reboot"
	StepTask          Step = "task"
	StepPlace         Step = "place"
	StepShutdown      Step = "shutdown"
)
