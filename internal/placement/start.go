package placement

// Start places a job on a worker.
type Start struct {
	Job    string
	Worker string
}
