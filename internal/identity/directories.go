package identity

import (
	"persimmonbay/internal/poolconfig"
	"persimmonbay/internal/shard"
)

// Directories keeps the directory of the last configuration that it was asked for. It is
// safe for concurrent use.
type Directories struct {
	last *shard.Cell[configurationDirectory]
}

// NewDirectories returns Directories that keep none yet.
func NewDirectories() *Directories {
	return &Directories{last: shard.NewCell(configurationDirectory{})}
}

// Of returns the directory of a configuration, nil for nil. It is built at the first call
// for that configuration; calls meanwhile wait for it.
func (d *Directories) Of(c *poolconfig.Configuration) *Directory {
	if c == nil {
		return nil
	}
	var directory *Directory
	d.last.Update(func(last configurationDirectory) (configurationDirectory, bool) {
		if last.configuration == c {
			directory = last.directory
			return last, false
		}
		directory = NewDirectory(c.Teams)
		return configurationDirectory{c, directory}, true
	})
	return directory
}
