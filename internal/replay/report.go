package replay

// Report is the result of a replay of one trace.
type Report struct {
	Trace            string         `json:"trace"`
	Order            Ordering       `json:"order"`
	Slots            Sharing        `json:"slots"`
	Streams          []StreamReport `json:"streams"`
	MaxInFlight      int            `json:"mostAtWork"` // most requests in flight on one upstream
	UpstreamRefusals int            `json:"upstreamRefusals"`
	MessagesPerEntry float64        `json:"controlMessagesPerEntry"` // sent per second, mean of the entries
	BytesPerEntry    float64        `json:"controlBytesPerEntry"`    // sent and received per second by the busiest entry
	Missed           []string       `json:"missed"`                  // stated outcomes that were not met
}
