package printer

import (
	"reflect"
	"strings"
	"unicode"
)

// kebab returns the value with its structs turned into maps. Their keys are the names
// of JSON tags, or else the names of the fields in kebab case. Empty pointers are left
// out.
func kebab(v reflect.Value) any {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			return nil
		}
		return kebab(v.Elem())
	case reflect.Struct:
		return fields(v)
	case reflect.Map:
		keyed := make(map[string]any, v.Len())
		for _, key := range v.MapKeys() {
			keyed[key.String()] = kebab(v.MapIndex(key))
		}
		return keyed
	case reflect.Slice, reflect.Array:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			return v.Interface()
		}
		items := make([]any, v.Len())
		for i := range items {
			items[i] = kebab(v.Index(i))
		}
		return items
	case reflect.Invalid:
		return nil
	}
	return v.Interface()
}

func fields(v reflect.Value) map[string]any {
	keyed := make(map[string]any, v.NumField())
	for i := range v.NumField() {
		field := v.Type().Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if name == "" {
			name = kebabName(field.Name)
		}
		if value := kebab(v.Field(i)); value != nil {
			keyed[name] = value
		}
	}
	return keyed
}

// kebabName turns "ManifestSince" into "manifest-since" and "PushID" into "push-id".
func kebabName(name string) string {
	var b strings.Builder
	letters := []rune(name)
	for i, c := range letters {
		starts := i > 0 && unicode.IsUpper(c) &&
			(unicode.IsLower(letters[i-1]) || i+1 < len(letters) && unicode.IsLower(letters[i+1]))
		if starts {
			b.WriteByte('-')
		}
		b.WriteRune(unicode.ToLower(c))
	}
	return b.String()
}
