package poolstore

import (
	"github.com/fxamacker/cbor/v2"

	"persimmonbay/internal/problem"
	"persimmonbay/internal/scheduler"
)

// EncodeJob returns the value of a job's key.
func EncodeJob(s *scheduler.Submission) ([]byte, error) { return encode(newJobRecord(s)) }

// DecodeJob decodes the value of a job's key. It returns Internal when the value
// cannot be decoded or a field is out of bounds.
func DecodeJob(service, id string, value []byte) (scheduler.Submission, error) {
	var r jobRecord
	if err := decode(JobKey(service, id), value, &r); err != nil {
		return scheduler.Submission{}, err
	}
	sub := r.submission(service, id)
	if field := sub.InvalidField(); field != "" {
		return scheduler.Submission{}, invalid(JobKey(service, id), field)
	}
	return sub, nil
}

// EncodeState returns the value of the key with a job's progress.
func EncodeState(s *JobProgress) ([]byte, error) {
	return encode(stateRecord{State: s.Progress.State, Queue: s.Queue, Done: s.Progress.Done, Failures: s.Progress.Failures, EndedAt: unixMillis(s.EndedAt), Barred: s.Barred, Refused: s.Refused, Team: s.Team})
}

// DecodeState decodes the value of a key with a job's progress. It returns Internal
// when the value cannot be decoded or the state is unknown.
func DecodeState(key string, value []byte) (JobProgress, error) {
	var r stateRecord
	if err := decode(key, value, &r); err != nil {
		return JobProgress{}, err
	}
	if r.State > scheduler.Cancelled {
		return JobProgress{}, invalid(key, "state")
	}
	return JobProgress{
		Queue:    r.Queue,
		Progress: scheduler.Progress{State: r.State, Done: r.Done, Failures: r.Failures},
		EndedAt:  fromUnixMillis(r.EndedAt),
		Barred:   r.Barred,
		Refused:  r.Refused,
		Team:     r.Team,
	}, nil
}

// EncodeRoster returns the value of the key of a pool's roster.
func EncodeRoster(r *scheduler.WorkerRoster) ([]byte, error) { return encode(r) }

// DecodeRoster decodes the value of the key of a pool's roster.
func DecodeRoster(key string, value []byte) (scheduler.WorkerRoster, error) {
	var r scheduler.WorkerRoster
	err := decode(key, value, &r)
	return r, err
}

// canonical encodes equal values to equal bytes, so that a stored value can be
// compared with the value that was written.
var canonical = func() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339Nano
	mode, err := options.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

func encode(v any) ([]byte, error) {
	data, err := canonical.Marshal(v)
	if err != nil {
		return nil, problem.Wrap(problem.Internal, problem.StepStoreWrite, "", err)
	}
	return data, nil
}

func decode(key string, data []byte, v any) error {
	if err := cbor.Unmarshal(data, v); err != nil {
		return problem.Wrap(problem.Internal, problem.StepStoreRead, key, err)
	}
	return nil
}
