package settings_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/controlclient"
	"bankledge/internal/controlserver"
	"bankledge/internal/rules"
	"bankledge/internal/settings"
)

var update = flag.Bool("update", false, "rewrite the recordings in testdata")

// format is one kind of configuration file. read returns the contents in a form that does not depend on Go names.
type format struct {
	name, deployed string // deployed is the format's file in deploy/, or empty
	read           func(path string) (any, error)
}

var formats = []format{
	{"router", "", func(path string) (any, error) {
		c, err := settings.Load(path)
		if err != nil {
			return nil, err
		}
		return values(reflect.ValueOf(c)), nil
	}},
	{"control", "control.jsonnet", func(path string) (any, error) {
		if strings.HasSuffix(path, ".jsonnet") {
			var f controlclient.Config
			return &f, controlserver.EvaluateJsonnet(path, &f)
		}
		f, err := controlclient.LoadConfig(path)
		if err != nil {
			return nil, err
		}
		return []any{f, values(reflect.ValueOf(f.LeaseDurations())), values(reflect.ValueOf(f.Guards()))}, nil
	}},
	{"group", "group.jsonnet", func(path string) (any, error) { return controlserver.LoadSettings(path) }},
	{"rules", "rules.jsonnet", func(path string) (any, error) {
		var raw json.RawMessage
		if err := controlserver.EvaluateJsonnet(path, &raw); err != nil {
			return nil, err
		}
		r, err := rules.Parse(raw)
		if err != nil {
			return nil, err
		}
		return json.RawMessage(r.Canonical()), nil
	}},
}

// badValues replace each field of a file in turn; the empty value removes the field.
var badValues = []string{"", `"odd"`, `""`, "-1", "0", "1.5", "1e30", "true", "null", "[]", "{}", `["odd","odd"]`, `{"odd":-1}`}

// goNames matches the names of Go types in encoding/json errors. The rest of a message is compared.
var goNames = regexp.MustCompile(`(Go struct field )\w*|( of type ).+`)

// Each field of each configuration file accepts the same values with the same result, and rejects the same values with the same
// message, as recorded in testdata.
func TestConfigurationFieldsAreReadAsRecorded(t *testing.T) {
	for _, f := range formats {
		t.Run(f.name, func(t *testing.T) {
			base, err := os.ReadFile(filepath.Join("testdata", f.name+".json"))
			require.NoError(t, err)
			recording, err := filepath.Abs(filepath.Join("testdata", f.name+".recorded"))
			require.NoError(t, err)
			deployed, err := filepath.Abs("../../deploy")
			require.NoError(t, err)
			t.Chdir(t.TempDir())

			lines := []string{"as it is\t\t" + result(t, f, string(base))}
			for _, path := range fieldPaths(t, base) {
				for _, value := range badValues {
					lines = append(lines, strings.Join(path, "/")+"\t"+value+"\t"+result(t, f, replaced(t, base, path, value)))
				}
			}
			if f.deployed != "" {
				text, err := os.ReadFile(filepath.Join(deployed, f.deployed))
				require.NoError(t, err)
				require.NoError(t, os.WriteFile(f.deployed, text, 0o600)) // a file in the working directory, so that the result contains no directory
				got, err := f.read(f.deployed)
				require.NoError(t, err)
				lines = append(lines, f.deployed+"\t\t"+digest(t, got))
			}
			compare(t, recording, lines)
		})
	}
}

// The site files, which the simulator reads, are unchanged byte for byte.
func TestSiteFilesAreUnchanged(t *testing.T) {
	sites, err := filepath.Glob("../../deploy/sites/*/*.toml")
	require.NoError(t, err)
	var lines []string
	for _, path := range sites {
		raw, err := os.ReadFile(path)
		require.NoError(t, err)
		lines = append(lines, fmt.Sprintf("%s\t%x", filepath.Base(path), sha256.Sum256(raw)))
	}
	compare(t, "testdata/sites.recorded", lines)
}

// compare compares lines with a recording, or rewrites the recording if -update is set.
func compare(t *testing.T, path string, lines []string) {
	t.Helper()
	text := strings.Join(lines, "\n") + "\n"
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	}
	recorded, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, strings.Split(string(recorded), "\n"), strings.Split(text, "\n"))
}

// result returns the quoted error of reading a file with this text, or a digest of its contents.
func result(t *testing.T, f format, text string) string {
	t.Helper()
	require.NoError(t, os.WriteFile("file.json", []byte(text), 0o600))
	got, err := f.read("file.json")
	if err != nil {
		return strconv.Quote(goNames.ReplaceAllString(err.Error(), "${1}${2}T"))
	}
	return digest(t, got)
}

func digest(t *testing.T, value any) string {
	t.Helper()
	raw, err := json.Marshal(value)
	require.NoError(t, err)
	var plain any // maps are encoded with sorted keys, independently of the order of struct fields
	require.NoError(t, json.Unmarshal(raw, &plain))
	raw, err = json.Marshal(plain)
	require.NoError(t, err)
	return fmt.Sprintf("accepted %x", sha256.Sum256(raw))[:25]
}

// values flattens the exported fields of a struct in order, without their names.
func values(v reflect.Value) (all []any) {
	switch v.Kind() {
	case reflect.Pointer:
		return values(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				all = append(all, values(v.Field(i))...)
			}
		}
		return all
	case reflect.Map:
		keys := v.MapKeys()
		slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(a.String(), b.String()) })
		for _, key := range keys {
			all = append(all, key.String(), values(v.MapIndex(key)))
		}
		return []any{all}
	case reflect.Slice:
		if raw, ok := v.Interface().(json.RawMessage); ok {
			return []any{raw}
		}
		for i := range v.Len() {
			all = append(all, values(v.Index(i)))
		}
		return []any{all}
	}
	return []any{v.Interface()}
}

// fieldPaths returns the paths of all fields, objects and lists of a file, with the first two entries of each list.
func fieldPaths(t *testing.T, raw []byte) (paths [][]string) {
	t.Helper()
	var walk func(path []string, value any)
	walk = func(path []string, value any) {
		if len(path) > 0 {
			paths = append(paths, slices.Clone(path))
		}
		switch v := value.(type) {
		case map[string]any:
			for _, key := range slices.Sorted(maps.Keys(v)) {
				walk(append(path, key), v[key])
			}
		case []any:
			for i, entry := range v[:min(2, len(v))] {
				walk(append(path, strconv.Itoa(i)), entry)
			}
		}
	}
	walk(nil, parse(t, raw))
	return paths
}

// replaced returns the file with another value at a path, or without the field if the value is empty.
func replaced(t *testing.T, raw []byte, path []string, value string) string {
	t.Helper()
	root := parse(t, raw)
	at := root
	for _, name := range path[:len(path)-1] {
		if list, ok := at.([]any); ok {
			i, err := strconv.Atoi(name)
			require.NoError(t, err)
			at = list[i]
		} else {
			at = at.(map[string]any)[name]
		}
	}
	last := path[len(path)-1]
	switch at := at.(type) {
	case []any:
		i, err := strconv.Atoi(last)
		require.NoError(t, err)
		at[i] = json.RawMessage(value)
		if value == "" {
			at[i] = nil
		}
	case map[string]any:
		at[last] = json.RawMessage(value)
		if value == "" {
			delete(at, last)
		}
	}
	text, err := json.Marshal(root)
	require.NoError(t, err)
	return string(text)
}

func parse(t *testing.T, raw []byte) (value any) {
	t.Helper()
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	require.NoError(t, d.Decode(&value))
	return value
}
