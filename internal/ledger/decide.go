package ledger

import (
	"time"

	"persimmonbay/internal/request"
)

// decide returns the verdict on operation, given the current record of its key,
// and whether verdict.Record has to be written before the verdict is valid. A
// current record of PhaseNone means that the log has no record of the key.
func decide(current, operation Record, now time.Time) (v Verdict, write bool) {
	v.Record = current
	switch {
	case operation.Phase == PhaseClaimed:
		return decideClaim(current, operation, now)
	case operation.Phase == PhaseNone:
		v.State = stateOf(current, now)
	case current.Attempt != operation.Attempt || current.Phase == PhaseNone:
		v.State = request.ClaimInDoubt // the claim is another attempt's or has expired
	case current.Phase == PhaseClaimed:
		return Verdict{State: request.ClaimGranted, Record: operation}, true
	case current.Phase == operation.Phase:
		v.State = request.ClaimGranted
	default:
		v.State = stateOf(current, now)
	}
	return v, false
}

func decideClaim(current, operation Record, now time.Time) (Verdict, bool) {
	switch {
	case current.Phase == PhaseNone:
		return Verdict{State: request.ClaimGranted, Record: operation}, true
	case current.Digest != operation.Digest && current.Digest != (Digest{}):
		return Verdict{State: request.ClaimMismatch, Record: current}, false
	case current.Phase == PhaseClaimed && current.Attempt == operation.Attempt:
		return Verdict{State: request.ClaimGranted, Record: current}, false
	}
	return Verdict{State: stateOf(current, now), Record: current}, false
}

// stateOf returns the claim state for an attempt other than the record's own.
func stateOf(r Record, now time.Time) request.ClaimState {
	switch {
	case r.Phase == PhaseFinished:
		return request.ClaimReplay
	case r.Phase == PhaseRefused:
		return request.ClaimRefused
	case r.InDoubt(now):
		return request.ClaimInDoubt
	}
	return request.ClaimInProgress
}
