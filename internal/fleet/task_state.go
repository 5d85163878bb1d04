package fleet

// TaskState is the state of a worker's task as the platform reports it.
type TaskState string

// The states of a task.
const (
	TaskRunning      TaskState = "running"
	TaskFinished     TaskState = "finished"
	TaskFailed       TaskState = "failed"
	TaskCheckpointed TaskState = "checkpointed" // ended early; its progress is saved
	TaskStopped      TaskState = "stopped"      // ended early; its progress is lost
	TaskNeverRan     TaskState = "never-ran"    // did not start, and its ID is refused from now on
	TaskLost         TaskState = "lost"         // was ordered, but is unknown to the worker
)
