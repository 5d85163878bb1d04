package front

// problemDocument is the body of the entry's own refusals (RFC 9457).
type problemDocument struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Step   string `json:"step"`
	Peer   string `json:"peer,omitempty"`
}
