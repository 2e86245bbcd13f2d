// Package tomlfile decodes configuration files in TOML strictly. Each error is one line of text with file, line and
// key.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"path/filepath"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Decode decodes the text of a file, raw, into the value that into points to. Unknown keys and values of a wrong type
// are errors. path is used in error messages only.
func Decode(path string, raw []byte, into any) error {
	d := toml.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	err := d.Decode(into)
	if err == nil {
		return nil
	}
	var strict *toml.StrictMissingError
	var wrong *toml.DecodeError
	switch {
	case errors.As(err, &strict) && len(strict.Errors) > 0:
		line, _ := strict.Errors[0].Position()
		return fmt.Errorf("%s:%d: %s: unknown key", path, line, strings.Join(strict.Errors[0].Key(), "."))
	case errors.As(err, &wrong):
		line, _ := wrong.Position()
		return fmt.Errorf("%s:%d: %s: %s", path, line, strings.Join(wrong.Key(), "."), oneLine(wrong.Error()))
	}
	return fmt.Errorf("%s: %s", path, oneLine(err.Error()))
}

// KeyErrors returns a function that creates errors about keys of a text that Decode accepted. The error has the line
// of the key, or of the innermost enclosing table that is in the text if the key is not. Keys in an array of tables
// are named like "peer[0].name".
func Faults(path string, raw []byte) func(key, format string, args ...any) error {
	lines := keyLines(raw)
	return func(key, format string, args ...any) error {
		line, at := 0, key
		for line = lines[at]; line == 0 && at != ""; line = lines[at] {
			at = at[:max(0, strings.LastIndexByte(at, '.'))]
		}
		where := path
		if line > 0 {
			where = fmt.Sprintf("%s:%d", path, line)
		}
		return fmt.Errorf("%s: %s: %s", where, key, oneLine(fmt.Sprintf(format, args...)))
	}
}

// RelativeTo returns a function that resolves the paths named in the file at path: relative to the file's folder,
// unless they are absolute.
func Beside(path string) func(name string) string {
	return func(name string) string {
		if filepath.IsAbs(name) {
			return name
		}
		return filepath.Join(filepath.Dir(path), name)
	}
}

// oneLine replaces each run of white space in text by one space.
func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }

// keyLines returns the line number of each key and each table in a well-formed file. Keys in an array of tables are
// named like "peer[0].name".
func keyLines(raw []byte) map[string]int {
	lines, count := map[string]int{}, map[string]int{}
	p := unstable.Parser{}
	p.Reset(raw)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		var parts []string
		line := 0
		for it := e.Key(); it.Next(); {
			parts = append(parts, string(it.Node().Data))
			if line == 0 {
				line = p.Shape(it.Node().Raw).Start.Line
			}
		}
		name := strings.Join(parts, ".")
		switch e.Kind {
		case unstable.Table:
			table, lines[name] = name+".", line
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d].", name, count[name])
			count[name]++
			lines[strings.TrimSuffix(table, ".")] = line
		case unstable.KeyValue:
			lines[table+name] = line
		}
	}
	return lines
}
