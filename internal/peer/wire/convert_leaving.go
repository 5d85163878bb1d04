package wire

import (
	"time"

	"persimmonbay/internal/routing"
)

// maxLeavingUpstreams bounds the leaving instances in one heartbeat. Further ones
// are dropped, when it is sent and when it is received.
const maxLeavingUpstreams = 4096

func fromLeavingMarks(marks []routing.LeavingMark) []*LeavingUpstream {
	messages := make([]*LeavingUpstream, 0, len(marks))
	for _, m := range marks[:min(len(marks), maxLeavingUpstreams)] {
		messages = append(messages, &LeavingUpstream{Instance: m.Instance, HeardMillis: m.ReceivedAt.UnixMilli()})
	}
	return messages
}

func toLeavingMarks(messages []*LeavingUpstream) []routing.LeavingMark {
	var marks []routing.LeavingMark
	for _, m := range messages[:min(len(messages), maxLeavingUpstreams)] {
		marks = append(marks, routing.LeavingMark{Instance: m.GetInstance(), ReceivedAt: time.UnixMilli(m.GetHeardMillis())})
	}
	return marks
}
