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
	decoder := toml.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if err == nil {
		return nil
	}
	var unknownKeys *toml.StrictMissingError
	var decodeErr *toml.DecodeError
	switch {
	case errors.As(err, &unknownKeys) && len(unknownKeys.Errors) > 0:
		line, _ := unknownKeys.Errors[0].Position()
		return fmt.Errorf("%s:%d: %s: unknown key", path, line, strings.Join(unknownKeys.Errors[0].Key(), "."))
	case errors.As(err, &decodeErr):
		line, _ := decodeErr.Position()
		return fmt.Errorf("%s:%d: %s: %s", path, line, strings.Join(decodeErr.Key(), "."), oneLine(decodeErr.Error()))
	}
	return fmt.Errorf("%s: %s", path, oneLine(err.Error()))
}

// KeyErrors returns a function that creates errors about keys of a text that Decode accepted. The error has the line
// of the key, or of the innermost enclosing table that is in the text if the key is not. Keys in an array of tables
// are named like "peer[0].name".
func KeyErrors(path string, raw []byte) func(key, format string, args ...any) error {
	lines := keyLines(raw)
	return func(key, format string, args ...any) error {
		line, prefix := 0, key
		for line = lines[prefix]; line == 0 && prefix != ""; line = lines[prefix] {
			prefix = prefix[:max(0, strings.LastIndexByte(prefix, '.'))]
		}
		position := path
		if line > 0 {
			position = fmt.Sprintf("%s:%d", path, line)
		}
		return fmt.Errorf("%s: %s: %s", position, key, oneLine(fmt.Sprintf(format, args...)))
	}
}

// RelativeTo returns a function that resolves the paths named in the file at path: relative to the file's folder,
// unless they are absolute.
func RelativeTo(path string) func(name string) string {
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
	lines, tableCount := map[string]int{}, map[string]int{}
	parser := unstable.Parser{}
	parser.Reset(raw)
	table := ""
	for parser.NextExpression() {
		expression := parser.Expression()
		var parts []string
		line := 0
		for keyParts := expression.Key(); keyParts.Next(); {
			parts = append(parts, string(keyParts.Node().Data))
			if line == 0 {
				line = parser.Shape(keyParts.Node().Raw).Start.Line
			}
		}
		name := strings.Join(parts, ".")
		switch expression.Kind {
		case unstable.Table:
			table, lines[name] = name+".", line
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d].", name, tableCount[name])
			tableCount[name]++
			lines[strings.TrimSuffix(table, ".")] = line
		case unstable.KeyValue:
			lines[table+name] = line
		}
	}
	return lines
}
