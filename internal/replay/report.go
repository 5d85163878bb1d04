package replay

// Report is what a replay of one trace came to.
type Report struct {
	Trace            string         `json:"trace"`
	Order            Ordering       `json:"order"`
	Slots            Sharing        `json:"slots"`
	Streams          []StreamReport `json:"streams"`
	MostAtWork       int            `json:"mostAtWork"` // on one upstream
	UpstreamRefusals int            `json:"upstreamRefusals"`
	MessagesPerEntry float64        `json:"controlMessagesPerEntry"` // a second, sent
	BytesPerEntry    float64        `json:"controlBytesPerEntry"`    // a second, sent and received, the busiest entry
	Missed           []string       `json:"missed"`                  // outcomes that were missed
}
