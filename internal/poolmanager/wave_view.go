package poolmanager

import (
	"maps"

	"persimmonbay/internal/upkeep"
)

// waveView holds the waves by their key in the store. It is immutable once shared: an
// update replaces it.
type waveView struct {
	waves map[string]upkeep.Wave
}

// with returns a copy with the wave added or replaced.
func (v waveView) with(key string, w upkeep.Wave) waveView {
	next := waveView{waves: maps.Clone(v.waves)}
	if next.waves == nil {
		next.waves = make(map[string]upkeep.Wave)
	}
	next.waves[key] = w
	return next
}

// without returns a copy without the wave.
func (v waveView) without(key string) waveView {
	next := waveView{waves: maps.Clone(v.waves)}
	delete(next.waves, key)
	return next
}
