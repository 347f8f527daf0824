package printer

import (
	"reflect"
	"strings"
	"unicode"
)

// toKebabKeys returns the value with its structs converted to maps. A key is the name in
// the field's JSON tag or, without one, the field's name in kebab case. Fields that are
// nil pointers are left out.
func toKebabKeys(v reflect.Value) any {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			return nil
		}
		return toKebabKeys(v.Elem())
	case reflect.Struct:
		return fieldMap(v)
	case reflect.Map:
		keyed := make(map[string]any, v.Len())
		for _, key := range v.MapKeys() {
			keyed[key.String()] = toKebabKeys(v.MapIndex(key))
		}
		return keyed
	case reflect.Slice, reflect.Array:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			return v.Interface()
		}
		items := make([]any, v.Len())
		for i := range items {
			items[i] = toKebabKeys(v.Index(i))
		}
		return items
	case reflect.Invalid:
		return nil
	}
	return v.Interface()
}

// fieldMap converts one struct.
func fieldMap(v reflect.Value) map[string]any {
	keyed := make(map[string]any, v.NumField())
	for i := range v.NumField() {
		field := v.Type().Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if name == "" {
			name = kebabName(field.Name)
		}
		if value := toKebabKeys(v.Field(i)); value != nil {
			keyed[name] = value
		}
	}
	return keyed
}

// kebabName converts a Go name to kebab case: "ManifestSince" to "manifest-since" and
// "PushID" to "push-id".
func kebabName(name string) string {
	var b strings.Builder
	runes := []rune(name)
	for i, c := range runes {
		startsWord := i > 0 && unicode.IsUpper(c) &&
			(unicode.IsLower(runes[i-1]) || i+1 < len(runes) && unicode.IsLower(runes[i+1]))
		if startsWord {
			b.WriteByte('-')
		}
		b.WriteRune(unicode.ToLower(c))
	}
	return b.String()
}
