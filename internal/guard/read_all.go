package guard

import "io"

// Sizes of the pieces in which ReadAll takes memory.
const (
	firstPiece   = 512
	largestPiece = 32 << 10
)

// ReadAll returns all of r. It takes memory as bytes arrive and copies them once, at the end, so
// that a body that never ends holds little more than what has come of it.
func ReadAll(r io.Reader) ([]byte, error) {
	var full [][]byte
	piece := make([]byte, 0, firstPiece)
	total := 0
	for {
		n, err := r.Read(piece[len(piece):cap(piece)])
		piece = piece[:len(piece)+n]
		total += n
		if err == io.EOF {
			if full == nil {
				return piece, nil
			}
			return join(append(full, piece), total), nil
		}
		if err != nil {
			return nil, err
		}
		if len(piece) == cap(piece) {
			full = append(full, piece)
			piece = make([]byte, 0, min(2*cap(piece), largestPiece))
		}
	}
}

func join(pieces [][]byte, total int) []byte {
	all := make([]byte, 0, total)
	for _, p := range pieces {
		all = append(all, p...)
	}
	return all
}
