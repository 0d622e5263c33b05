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
			t.Errorf("key missing from the control API: %s", key)
		}
	}
	for _, key := range got {
		if _, found := slices.BinarySearch(want, key); !found {
			t.Errorf("key not in the golden file: %s", key)
		}
	}
}

// collectKeys adds the paths and kinds of all JSON values within a type to keys.
func collectKeys(of reflect.Type, path string, keys map[string]bool) {
	switch of.Kind() {
	case reflect.Pointer, reflect.Slice:
		collectKeys(of.Elem(), path, keys)
	case reflect.Map:
		collectKeys(of.Elem(), path+".*", keys)
	case reflect.Struct:
		for i := range of.NumField() {
			field := of.Field(i)
			if field.IsExported() {
				collectKeys(field.Type, fieldPath(path, field), keys)
			}
		}
	default:
		keys[path+" "+of.Kind().String()] = true
	}
}

// fieldPath returns the JSON path of a field. An embedded struct has the path of the struct around it.
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
