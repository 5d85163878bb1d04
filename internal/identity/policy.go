package identity

import "time"

// Policy bounds how old an entry's knowledge of the configuration may be.
type Policy struct {
	FailClosed   bool          // admit no keyed call once a withdrawn key may be older than RevokeWithin
	RevokeWithin time.Duration // from the withdrawal of a key until no call with it is admitted
}

// marginShare is the share of RevokeWithin that is left for the drift between the clocks
// of the operators and the entry.
const marginShare = 0.04

// Judge returns the verdict on a call. A call that was sent before Judge is called and
// whose key was withdrawn more than RevokeWithin before it was sent is never admitted if
// FailClosed is set. After Unconfirmed, the caller reads the configuration again and judges
// once more: a key is unknown if a read that was sent after the call arrived shows no such
// key.
func (p Policy) Judge(call Call, k Knowledge) Verdict {
	if k.Configuration == nil {
		return Verdict{Outcome: NoConfiguration}
	}
	queue, rest := k.Configuration.Find(call.Host, call.Path)
	if queue == nil {
		return Verdict{Outcome: NoQueue}
	}
	v := Verdict{Queue: queue, Rest: rest}
	if k.Directory.Empty() {
		v.Caller.Any = true
		return v
	}
	outdated := p.outdated(k)
	known := false
	if call.Key != nil && !outdated {
		v.Caller.Team, known = k.Directory.Team(*call.Key)
	}
	switch {
	case queue.Public:
		v.Caller.Public = queue.Name
	case outdated:
		return Verdict{Outcome: Outdated}
	case known:
	case k.Confirmed && k.Age <= k.Waited:
		return Verdict{Outcome: UnknownKey}
	default:
		return Verdict{Outcome: Unconfirmed}
	}
	return v
}

// ConfirmAfter returns the age of the last confirmation at which the entry confirms the
// configuration by a read of its own, beside its watch; 0: it never needs to.
func (p Policy) ConfirmAfter() time.Duration {
	if !p.FailClosed {
		return 0
	}
	return p.RevokeWithin / 2
}

func (p Policy) outdated(k Knowledge) bool {
	if !p.FailClosed {
		return false
	}
	margin := time.Duration(marginShare * float64(p.RevokeWithin))
	return !k.Confirmed || k.Age >= p.RevokeWithin-margin
}
