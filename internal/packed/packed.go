package packed

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// maxBytes bounds a document that is unpacked.
const maxBytes = 16 << 20

// magic begins every compressed document and no text.
var magic = []byte{0x1f, 0x8b}

// Pack returns the document compressed. The same document always gives the
// same bytes.
func Pack(document []byte) []byte {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	_, _ = w.Write(document) // a buffer takes all that is written
	_ = w.Close()
	return out.Bytes()
}

// Unpack returns the document in data, which may also be a plain one. It fails
// when data is damaged or the document larger than 16 MB.
func Unpack(data []byte) ([]byte, error) {
	if !bytes.HasPrefix(data, magic) {
		return data, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	document, err := io.ReadAll(io.LimitReader(r, maxBytes+1))
	if err != nil {
		return nil, err
	}
	if len(document) > maxBytes {
		return nil, fmt.Errorf("document is larger than %d bytes", maxBytes)
	}
	return document, nil
}
