package capacity

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// root is the path of the project's root from this package.
const root = "../../.."

func readPage(t *testing.T) (page string, r *Results) {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(root, PageFile))
	if err != nil {
		t.Fatal(err)
	}
	if r, err = Read(filepath.Join(root, ResultsFile)); err != nil {
		t.Fatal(err)
	}
	return string(raw), r
}

// The page in the repository must be the one that its results generate, and no section may be of the quick form.
func TestPageIsMadeFromTheResults(t *testing.T) {
	page, r := readPage(t)
	want, err := Page(page, r)
	if err != nil {
		t.Fatal(err)
	}
	if want != page {
		t.Errorf("%s is not what %s makes: run rig capacity -page", PageFile, ResultsFile)
	}
	for _, s := range r.Sections {
		if s.Quick {
			t.Errorf("section %s is of the quick form", s.Name)
		}
	}
	if begun, ended := strings.Count(page, "<!-- table "), strings.Count(page,
		endMarker); begun != ended || begun != len(tables)+len(roles) {
		t.Errorf("%d tables begin and %d end, %d are made", begun, ended, len(tables)+len(roles))
	}
}

// A figure that was changed by hand, on the page or in the results, must be detected.
func TestPageShowsAHandInIt(t *testing.T) {
	page, r := readPage(t)
	cell := regexp.MustCompile(`\| nodes\.rest\.node\.bytes \|[^\n]*\d`)
	at := cell.FindStringIndex(page)
	if at == nil {
		t.Fatal("the page has no line of a node's bytes")
	}
	digit := byte('1')
	if page[at[1]-1] == digit {
		digit = '2'
	}
	forged := page[:at[1]-1] + string(digit) + page[at[1]:]
	if made, err := Page(forged, r); err != nil || made == forged {
		t.Errorf("a changed figure on the page was not detected: %v", err)
	}
	for _, s := range r.Sections {
		for i := range s.Figures {
			if s.Figures[i].Name == "nodes.730.burst10.node.bytes" {
				s.Figures[i].Value *= 2
			}
		}
	}
	if made, err := Page(page, r); err != nil || made == page {
		t.Errorf("a changed figure in the results was not detected: %v", err)
	}
}

// The page must not be generated in part: a missing table, end marker or figure is an error.
func TestPageIsMadeWholeOrNotAtAll(t *testing.T) {
	page, r := readPage(t)
	if _, err := Page(strings.Replace(page, "<!-- table missing", "<!-- no table missing", 1), r); err == nil {
		t.Error("a page without one of its tables was generated")
	}
	if _, err := Page(strings.ReplaceAll(page, endMarker, ""), r); err == nil {
		t.Error("a page whose tables have no end was generated")
	}
	for i, s := range r.Sections {
		if s.Name == "messages" {
			r.Sections = append(r.Sections[:i:i], r.Sections[i+1:]...)
			break
		}
	}
	if _, err := Page(page, r); err == nil || !strings.Contains(err.Error(), "messages.") {
		t.Errorf("figures that no run gave: %v", err)
	}
	folder := t.TempDir()
	if err := WritePage(filepath.Join(root, PageFile), filepath.Join(folder, "none.json")); err == nil {
		t.Error("a page was generated from no results")
	}
}

// Written results must be read back unchanged, with a section's later run in place of its earlier one.
func TestResultsAreKept(t *testing.T) {
	path := filepath.Join(t.TempDir(), "results.json")
	r := &run{Options: Options{Results: path}}
	for _, v := range []float64{1, 2} {
		for _, name := range []string{"a", "b"} {
			if err := r.saveResults(&Section{Name: name, Figures: []Figure{{name + ".x", v, "ms"}}}); err != nil {
				t.Fatal(err)
			}
		}
	}
	all, err := Read(path)
	if err != nil || len(all.Sections) != 2 {
		t.Fatalf("%+v, %v", all, err)
	}
	if f, s, ok := all.Find("b.x"); !ok || f.Value != 2 || s.Name != "b" {
		t.Errorf("%+v", f)
	}
	if err := os.WriteFile(path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Read(path); err == nil {
		t.Error("a truncated file was read without error")
	}
}
