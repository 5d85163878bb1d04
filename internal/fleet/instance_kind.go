package fleet

// InstanceKind is the purpose of an instance.
type InstanceKind string

const (
	// KindUpstream is an instance that runs a service behind the entries.
	KindUpstream InstanceKind = "upstream"
	// KindWorker is an instance that runs jobs.
	KindWorker InstanceKind = "worker"
)
