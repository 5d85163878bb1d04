package fleet

// TaskState is the platform's word on a task of a worker.
type TaskState string

// The states of a task.
const (
	TaskRunning      TaskState = "running"
	TaskFinished     TaskState = "finished"
	TaskFailed       TaskState = "failed"
	TaskCheckpointed TaskState = "checkpointed" // ended early; its progress is kept
	TaskStopped      TaskState = "stopped"      // ended early; its progress is lost
	TaskNeverRan     TaskState = "never-ran"    // it did not start, and its ID is refused from now on
	TaskLost         TaskState = "lost"         // it was ordered, and the worker does not know it
)
