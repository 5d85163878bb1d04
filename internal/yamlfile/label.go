package yamlfile

import (
	"regexp"

	"github.com/go-playground/validator/v10"
)

// label matches valid names. Names are parts of URLs, store keys and log lines.
var label = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$`)

// labelExpectation is the text of a finding about a name that is not a label.
const labelExpectation = "expected a name of at most 63 letters, digits, - and _, beginning with a letter or digit"

func isLabel(field validator.FieldLevel) bool { return label.MatchString(field.Field().String()) }
