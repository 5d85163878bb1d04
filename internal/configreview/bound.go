package configreview

import "fmt"

const (
	// maxListed limits the findings, and the differences, that are returned.
	maxListed = 500
	// maxNameRunes limits the length of a name in a text.
	maxNameRunes = 64
)

// quoted returns name in quotes, shortened.
func quoted(name string) string {
	if runes := []rune(name); len(runes) > maxNameRunes {
		name = string(runes[:maxNameRunes]) + "…"
	}
	return fmt.Sprintf("%q", name)
}
