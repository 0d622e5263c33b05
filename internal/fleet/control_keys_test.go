package fleet

import (
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"swiftcourse/internal/policy/release"
)

// Operators' programs depend on the JSON keys of the control API, so renaming a Go field must not
// change them.
func TestControlAPI_KeysMatchGoldenFile(t *testing.T) {
	golden, err := os.ReadFile("testdata/control_api_keys.txt")
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(strings.TrimSpace(string(golden)), "\n")
	var got []string
	for _, body := range []struct {
		route string
		value any
	}{
		{"GET /state", Status{}},
		{"GET /budgets", QuotaStatus{}},
		{"GET /counts", CounterStatus{}},
		{"GET /plans", LoadPlanStatus{}},
		{"POST /command", release.Command{}},
	} {
		keys := map[string]bool{}
		collectKeys(reflect.TypeOf(body.value), body.route+" ", keys)
		for key := range keys {
			got = append(got, key)
		}
	}
	slices.Sort(got)
	slices.Sort(want)
	for _, key := range want {
		if _, found := slices.BinarySearch(got, key); !found {
			t.Errorf("control API has no key %q, want it as the golden file lists it", key)
		}
	}
	for _, key := range got {
		if _, found := slices.BinarySearch(want, key); !found {
			t.Errorf("control API has key %q, want only the keys of the golden file", key)
		}
	}
}

// collectKeys adds the paths and kinds of all JSON values within a type to keys.
func collectKeys(typ reflect.Type, path string, keys map[string]bool) {
	switch typ.Kind() {
	case reflect.Pointer, reflect.Slice:
		collectKeys(typ.Elem(), path, keys)
	case reflect.Map:
		collectKeys(typ.Elem(), path+".*", keys)
	case reflect.Struct:
		for i := range typ.NumField() {
			field := typ.Field(i)
			if field.IsExported() {
				collectKeys(field.Type, fieldPath(path, field), keys)
			}
		}
	default:
		keys[path+" "+typ.Kind().String()] = true
	}
}

// fieldPath returns the JSON path of a field. The path of an embedded struct without a key is that of
// the enclosing struct.
func fieldPath(path string, field reflect.StructField) string {
	key, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	if key == "" && field.Anonymous {
		return path
	}
	if key == "" {
		key = field.Name
	}
	if strings.HasSuffix(path, " ") {
		return path + key
	}
	return path + "." + key
}
