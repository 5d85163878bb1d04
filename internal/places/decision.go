package places

// Decision is an answer with its inputs, for the logs.
type Decision struct {
	Question
	Answer
}
