package report

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestWriteTable_AlignsRight(t *testing.T) {
	var out strings.Builder
	if err := WriteTable(&out, []string{"name", "n"}, [][]string{{"a", "1"}, {"bcdef", "100"}}); err != nil {
		t.Fatal(err)
	}
	want := "   name    n\n      a    1\n  bcdef  100\n"
	if out.String() != want {
		t.Errorf("got table %q, want %q", out.String(), want)
	}
}

func TestWriteJSON(t *testing.T) {
	type row struct {
		N int `json:"n"`
	}
	tests := map[string]struct {
		rows []row
		want string
	}{
		"no rows":  {nil, "[]\n"},
		"two rows": {[]row{{1}, {2}}, "[\n  {\n    \"n\": 1\n  },\n  {\n    \"n\": 2\n  }\n]\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "rows.json")
			if err := WriteJSON(path, test.rows); err != nil {
				t.Fatal(err)
			}
			text, err := os.ReadFile(path)
			if err != nil || string(text) != test.want {
				t.Errorf("got file content %q and error %v, want content %q", text, err, test.want)
			}
		})
	}
}

func TestWriteJSON_ErrorNamesPath(t *testing.T) {
	path := filepath.Join(t.TempDir(), "missing", "rows.json")
	if err := WriteJSON(path, []int{1}); err == nil || !strings.Contains(err.Error(), path) {
		t.Errorf("got error %v, want one that contains %s", err, path)
	}
}
