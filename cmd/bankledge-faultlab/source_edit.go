package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// edit replaces a text that occurs exactly once in a source file.
type edit struct{ file, old, new string }

// editedSources returns the text of each file that the edits change, by the file's path. It returns an error if the old text of an edit
// does not occur exactly once.
func editedSources(name string, edits []edit) (map[string]string, error) {
	texts := map[string]string{}
	for _, e := range edits {
		if texts[e.file] == "" {
			text, err := os.ReadFile(e.file)
			if err != nil {
				return nil, err
			}
			texts[e.file] = string(text)
		}
		if n := strings.Count(texts[e.file], e.old); n != 1 {
			return nil, fmt.Errorf("%s: the text to replace must occur once, but occurs %d times in %s", name, n, e.file)
		}
		texts[e.file] = strings.Replace(texts[e.file], e.old, e.new, 1)
	}
	return texts, nil
}

// buildEdited builds a program from edited sources without changing the source files. name identifies the program in errors. remove
// deletes what was built.
func buildEdited(name, pkg string, edits []edit) (path string, remove func(), err error) {
	dir, remove, err := tempDir()
	if err != nil {
		return "", nil, err
	}
	path = filepath.Join(dir, "bankledge")
	overlay, err := writeOverlay(dir, name, edits)
	if err == nil {
		err = goBuild(name, path, pkg, "-overlay", overlay)
	}
	if err != nil {
		remove()
		return "", nil, err
	}
	return path, remove, nil
}

// writeOverlay writes the edited sources into a directory, and the file for go build -overlay that maps the source files to them.
func writeOverlay(dir, name string, edits []edit) (path string, err error) {
	texts, err := editedSources(name, edits)
	if err != nil {
		return "", err
	}
	var overlay struct{ Replace map[string]string }
	overlay.Replace = map[string]string{}
	for file, text := range texts {
		source, err := filepath.Abs(file)
		if err != nil {
			return "", err
		}
		edited := filepath.Join(dir, strings.ReplaceAll(file, "/", "-"))
		if err := os.WriteFile(edited, []byte(text), 0o600); err != nil {
			return "", err
		}
		overlay.Replace[source] = edited
	}
	raw, err := json.Marshal(overlay)
	if err != nil {
		return "", err
	}
	path = filepath.Join(dir, "overlay.json")
	return path, os.WriteFile(path, raw, 0o600)
}
