// Package doccheck checks that exported items have doc comments. staticcheck checks the form of existing ones.
package doccheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// TestExportedItemsAreDocumented reads all sources of the program except tests and generated files.
func TestExportedItemsAreDocumented(t *testing.T) {
	files := token.NewFileSet()
	read := 0
	visit := func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(files, path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		read++
		for _, name := range undocumented(file) {
			t.Errorf("%s: %s has no doc comment", files.Position(name.Pos()), name.Name)
		}
		return nil
	}
	if err := filepath.WalkDir("../..", visit); err != nil {
		t.Fatal(err)
	}
	if read == 0 {
		t.Error("no file was read")
	}
}

func TestUndocumentedItemsAreFound(t *testing.T) {
	const source = `package p

func Bare() {}

// Documented does nothing.
func Documented() {}

func unexported() {}

type Type struct{}

func (Type) Method() {}

type hidden struct{}

func (*hidden) Method2() {}

const (
	// Limit bounds it.
	Limit = 1
	Other = 2
	Beside = 3 // bounds it too
)

// These are documented together.
var (
	A int
	B int
)
`
	file, err := parser.ParseFile(token.NewFileSet(), "p.go", source, parser.ParseComments)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, name := range undocumented(file) {
		names = append(names, name.Name)
	}
	if got, want := strings.Join(names, " "), "Bare Type Method Method2 Other"; got != want {
		t.Errorf("found %q, want %q", got, want)
	}
}

// undocumented lists the exported functions, methods, types, constants and variables of a file that have no
// comment.
func undocumented(file *ast.File) []*ast.Ident {
	if ast.IsGenerated(file) {
		return nil
	}
	var names []*ast.Ident
	for _, declaration := range file.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			if d.Doc == nil && d.Name.IsExported() {
				names = append(names, d.Name)
			}
		case *ast.GenDecl:
			if d.Doc == nil {
				names = append(names, undocumentedSpecs(d.Specs)...)
			}
		}
	}
	return names
}

// undocumentedSpecs lists the exported names of a declaration that has no comment of its own.
func undocumentedSpecs(specs []ast.Spec) []*ast.Ident {
	var names []*ast.Ident
	for _, spec := range specs {
		switch s := spec.(type) {
		case *ast.TypeSpec:
			if s.Doc == nil && s.Name.IsExported() {
				names = append(names, s.Name)
			}
		case *ast.ValueSpec:
			for _, name := range s.Names {
				if s.Doc == nil && s.Comment == nil && name.IsExported() {
					names = append(names, name)
				}
			}
		}
	}
	return names
}
