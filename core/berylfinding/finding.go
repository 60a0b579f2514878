// Package berylfinding describes errors found in configuration files and lists.
package berylfinding

import (
	"strings"

	"github.com/rotisserie/eris"
)

// Finding is one error in a file. Path is a JSON path such as plans[3].rate. It is
// empty if the error concerns the whole file.
type Finding struct {
	File    string
	Path    string
	Message string
}

// String returns "file: path: message", without the parts that are empty.
func (f Finding) String() string {
	parts := make([]string, 0, 3)
	for _, p := range []string{f.File, f.Path, f.Message} {
		if p != "" {
			parts = append(parts, p)
		}
	}
	return strings.Join(parts, ": ")
}

// Join returns an error that has one line for each finding, nil if there are none.
func Join(findings []Finding) error {
	if len(findings) == 0 {
		return nil
	}
	lines := make([]string, len(findings))
	for i, f := range findings {
		lines[i] = f.String()
	}
	return eris.New(strings.Join(lines, "\n"))
}
