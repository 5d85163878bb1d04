package work

// TaskID names one task of a job.
type TaskID struct {
	Job        string
	Occurrence int // counted from 0; 0 for a job that does not repeat
	Step       int
	Index      int
}
