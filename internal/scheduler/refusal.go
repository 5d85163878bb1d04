package scheduler

// refusal is an answer of the advice service that did not grant a worker that a call named.
type refusal struct {
	incarnation int64 // of the worker, as listed then
	round       int   // of the step's calls
}
