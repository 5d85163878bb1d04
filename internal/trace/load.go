package trace

import (
	"os"
	"path/filepath"
	"strings"

	"persimmonbay/internal/problem"
	"persimmonbay/internal/yamlfile"
)

// outcomesSuffix is what the name of the outcomes' file has in place of .yaml.
const outcomesSuffix = ".outcomes.yaml"

// Load reads the trace in file, the outcomes beside it and its questionnaire.
func Load(file string) (*Trace, error) {
	data, err := read(file)
	if err != nil {
		return nil, err
	}
	t, err := Parse(file, data)
	if err != nil {
		return nil, err
	}
	if err := decode(strings.TrimSuffix(file, ".yaml")+outcomesSuffix, &t.Outcomes); err != nil {
		return nil, err
	}
	return t, decode(filepath.Join(filepath.Dir(file), t.Answers), &t.Questionnaire)
}

// Parse reads a trace without the files that belong to it. Errors are findings
// that name file and line.
func Parse(file string, data []byte) (*Trace, error) {
	t := &Trace{}
	_, err := yamlfile.Decode(file, data, t)
	return t, err
}

func decode(file string, target any) error {
	data, err := read(file)
	if err != nil {
		return err
	}
	_, err = yamlfile.Decode(file, data, target)
	return err
}

func read(file string) ([]byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, problem.Wrap(problem.NotFound, problem.StepParse, "", err)
	}
	return data, nil
}
