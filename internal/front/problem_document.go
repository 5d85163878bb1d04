package front

// problemDocument is the body of a response by which the entry itself refuses a
// request (RFC 9457).
type problemDocument struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Step   string `json:"step"`
	Peer   string `json:"peer,omitempty"`
}
