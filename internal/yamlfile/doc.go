// Package yamlfile decodes YAML documents that people write. It refuses unknown
// and duplicate keys, checks values by their "validate" struct tags, and reports
// each fault with its line.
package yamlfile
