package manifest

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"tarragonshed.example/internal/locator"
	"tarragonshed.example/result"
)

// reader reads the values of one table of a decoded document and reports keys that are
// missing, have a value of the wrong type, or are unknown.
type reader struct {
	*collector
	path  string
	table map[string]any
	known map[string]bool
}

func newReader(c *collector, path string, table map[string]any) *reader {
	return &reader{collector: c, path: path, table: table, known: make(map[string]bool)}
}

// lookup returns the value of the key, its path, and whether the key is present.
func (r *reader) lookup(key string, required bool) (any, string, bool) {
	r.known[key] = true
	path := locator.Join(r.path, key)
	value, ok := r.table[key]
	if !ok && required {
		r.add(result.ManifestMissing, path, "the key is required")
	}
	return value, path, ok
}

func (r *reader) wrongType(path, want string, value any) {
	r.add(result.ManifestWrongType, path, "the value must be %s, not %s", want, typeName(value))
}

func (r *reader) text(key string, required bool) string {
	value, path, ok := r.lookup(key, required)
	if !ok {
		return ""
	}
	text, ok := value.(string)
	if !ok {
		r.wrongType(path, "a string", value)
		return ""
	}
	if text == "" && required {
		r.add(result.ManifestMissing, path, "the value is empty")
	}
	return text
}

// integer returns an integer from low to high. It returns fallback if the key is missing or
// its value is not valid.
func (r *reader) integer(key string, low, high, fallback int, required bool) int {
	value, path, ok := r.lookup(key, required)
	if !ok {
		return fallback
	}
	number, ok := value.(int64)
	if !ok {
		r.wrongType(path, "an integer", value)
		return fallback
	}
	if number < int64(low) || number > int64(high) {
		r.add(result.ManifestRange, path, "%d is not between %d and %d", number, low, high)
		return fallback
	}
	return int(number)
}

func (r *reader) boolean(key string) bool {
	value, path, ok := r.lookup(key, false)
	if !ok {
		return false
	}
	flag, ok := value.(bool)
	if !ok {
		r.wrongType(path, "true or false", value)
	}
	return flag
}

// duration returns a duration from zero to limit.
func (r *reader) duration(key string, limit time.Duration) Duration {
	value, path, ok := r.lookup(key, false)
	if !ok {
		return 0
	}
	text, ok := value.(string)
	if !ok {
		r.wrongType(path, `a duration such as "1.5s"`, value)
		return 0
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		r.add(result.ManifestDuration, path, "%q is not a duration such as \"1.5s\"", text)
		return 0
	}
	if parsed < 0 || parsed > limit {
		r.add(result.ManifestDuration, path, "%v is not between 0s and %v", parsed, limit)
		return 0
	}
	return Duration(parsed)
}

// texts returns the strings of a list and their paths.
func (r *reader) textList(key string, limit int) ([]string, []string) {
	value, path, ok := r.lookup(key, false)
	if !ok {
		return nil, nil
	}
	list, ok := value.([]any)
	if !ok {
		r.wrongType(path, "a list of strings", value)
		return nil, nil
	}
	if len(list) > limit {
		r.add(result.ManifestTooLarge, path, "%d entries exceed the limit of %d", len(list), limit)
		return nil, nil
	}
	var texts, paths []string
	for i, item := range list {
		itemPath := fmt.Sprintf("%s[%d]", path, i)
		text, ok := item.(string)
		if !ok {
			r.wrongType(itemPath, "a string", item)
			continue
		}
		texts = append(texts, text)
		paths = append(paths, itemPath)
	}
	return texts, paths
}

// tables returns a reader for each table of an array of tables.
func (r *reader) tables(key string, limit int, required bool) []*reader {
	value, path, ok := r.lookup(key, required)
	if !ok {
		return nil
	}
	var list []map[string]any
	switch value := value.(type) {
	case []map[string]any:
		list = value
	case []any:
		for i, item := range value {
			table, ok := item.(map[string]any)
			if !ok {
				r.wrongType(fmt.Sprintf("%s[%d]", path, i), "a table", item)
				continue
			}
			list = append(list, table)
		}
	default:
		r.wrongType(path, "an array of tables", value)
		return nil
	}
	if len(list) > limit {
		r.add(result.ManifestTooLarge, path, "%d entries exceed the limit of %d", len(list), limit)
		return nil
	}
	if len(list) == 0 && required {
		r.add(result.ManifestMissing, path, "the list is empty")
	}
	readers := make([]*reader, 0, len(list))
	for i, table := range list {
		readers = append(readers, newReader(r.collector, fmt.Sprintf("%s[%d]", path, i), table))
	}
	return readers
}

// reportUnknownKeys reports the keys that were not looked up.
func (r *reader) reportUnknownKeys() {
	for _, key := range slices.Sorted(maps.Keys(r.table)) {
		if !r.known[key] {
			r.add(result.ManifestUnknownKey, locator.Join(r.path, key), "unknown key")
		}
	}
}

func typeName(value any) string {
	switch value := value.(type) {
	case string:
		return "a string"
	case int64:
		return "an integer"
	case float64:
		if math.IsNaN(value) {
			return "not a number"
		}
		return "a float"
	case bool:
		return "a boolean"
	case []any, []map[string]any:
		return "a list"
	case map[string]any:
		return "a table"
	}
	return "a date or time"
}
