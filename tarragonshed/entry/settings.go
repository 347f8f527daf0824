package entry

import (
	"maps"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/entry/classifier"
	"tarragonshed.example/unit"
)

// Names of the settings that the proxy itself implements.
const (
	parameterPrefix     = "tarragon."
	positionParameter   = "tarragon.position"
	stalenessParameter  = "tarragon.max_staleness"
	requestKeyParameter = "tarragon.request_key"
)

// options are the settings of a session.
type options struct {
	staleness    time.Duration
	stalenessSet bool
	key          unit.RequestKey
	// settings are sent with each transaction. The map is copied on change.
	settings    map[string]string
	application string
}

// setting is a change of one setting by SET or RESET.
type setting struct {
	name  string
	value string
	reset bool
}

func settingOf(st classifier.Statement) setting {
	return setting{name: st.Name, value: st.Value, reset: st.Kind == classifier.Reset || st.ToDefault}
}

// applyStartup applies the parameters of a startup message.
func (s *session) applyStartup(parameters map[string]string) error {
	for name, value := range parameters {
		switch name {
		case "user", "database", "replication":
			continue
		case "options":
			if err := s.applyOptions(value); err != nil {
				return err
			}
			continue
		}
		if strings.HasPrefix(name, "_pq_.") {
			continue
		}
		if err := s.set(setting{name: strings.ToLower(name), value: value}); err != nil {
			return err
		}
	}
	return nil
}

// applyOptions applies the settings in the startup parameter "options", of the
// forms "-c name=value" and "--name=value". A backslash escapes a space.
func (s *session) applyOptions(text string) error {
	words := splitOptions(text)
	for i := 0; i < len(words); i++ {
		word, ok := strings.CutPrefix(words[i], "--")
		if !ok {
			word, ok = strings.CutPrefix(words[i], "-c")
		}
		if ok && word == "" && i+1 < len(words) {
			i++
			word = words[i]
		}
		name, value, hasValue := strings.Cut(word, "=")
		if !ok || !hasValue {
			return result.New(result.MalformedOption, "startup option %q is not of the form -c name=value", words[i])
		}
		name = strings.ReplaceAll(strings.ToLower(name), "-", "_")
		if err := s.set(setting{name: name, value: value}); err != nil {
			return err
		}
	}
	return nil
}

func splitOptions(text string) []string {
	var words []string
	var word strings.Builder
	escaped := false
	for _, c := range []byte(text) {
		switch {
		case escaped:
			word.WriteByte(c)
			escaped = false
		case c == '\\':
			escaped = true
		case c == ' ' || c == '\t' || c == '\n':
			if word.Len() > 0 {
				words = append(words, word.String())
				word.Reset()
			}
		default:
			word.WriteByte(c)
		}
	}
	if word.Len() > 0 {
		words = append(words, word.String())
	}
	return words
}

// set changes a setting of the session.
func (s *session) set(change setting) error {
	if strings.HasPrefix(change.name, parameterPrefix) {
		return s.setProxySetting(change)
	}
	switch change.name {
	case "application_name":
		s.options.application = change.value
		if change.reset {
			s.options.application = ""
		}
		return nil
	case "client_encoding", "names":
		encoding := strings.ReplaceAll(strings.ToLower(change.value), "-", "")
		if !change.reset && encoding != "utf8" && encoding != "unicode" && encoding != "auto" {
			return result.New(result.NotCarried, "client encoding %q is not supported, only UTF8", change.value)
		}
		return nil
	case "extra_float_digits":
		return nil
	case "datestyle":
		if strings.HasPrefix(strings.ToLower(change.value), "iso") {
			change.reset = true
		}
	}
	changed := maps.Clone(s.options.settings)
	if change.reset {
		delete(changed, change.name)
	} else {
		if changed == nil {
			changed = make(map[string]string)
		}
		changed[change.name] = change.value
	}
	s.options.settings = changed
	return nil
}

func (s *session) setProxySetting(change setting) error {
	switch change.name {
	case positionParameter:
		if change.reset {
			return nil
		}
		p, err := unit.ParsePosition(change.value)
		if err != nil {
			return result.New(result.MalformedOption, "%v", err)
		}
		s.tracker.Initialize(p)
	case stalenessParameter:
		if change.reset {
			s.options.staleness, s.options.stalenessSet = 0, false
			return nil
		}
		staleness, err := parseStaleness(change.value)
		if err != nil {
			return err
		}
		s.options.staleness, s.options.stalenessSet = staleness, true
	case requestKeyParameter:
		s.options.key = unit.RequestKey(change.value)
		if change.reset {
			s.options.key = ""
		}
	default:
		return result.New(result.MalformedOption, "setting %q is not known", change.name)
	}
	return nil
}

func parseStaleness(text string) (time.Duration, error) {
	if text == "0" {
		return 0, nil
	}
	staleness, err := time.ParseDuration(text)
	if err != nil || staleness < 0 {
		return 0, result.New(result.MalformedOption, "staleness %q is not a non-negative duration such as 5s", text)
	}
	return staleness, nil
}

// resetSettings sets all settings to their defaults.
func (s *session) resetSettings() {
	s.options = options{}
}

// show returns the value of a setting of the proxy.
func (s *session) show(name string) (string, error) {
	switch name {
	case positionParameter:
		return s.tracker.Position().String(), nil
	case stalenessParameter:
		if s.options.stalenessSet {
			return s.options.staleness.String(), nil
		}
		return s.group.staleness().String(), nil
	case requestKeyParameter:
		return string(s.options.key), nil
	}
	return "", result.New(result.MalformedOption, "setting %q is not known", name)
}

func (s *session) timeZone() string {
	if zone, ok := s.options.settings["timezone"]; ok {
		return zone
	}
	return "UTC"
}

// reportedNames maps the settings whose changes PostgreSQL reports by
// ParameterStatus to the reported names.
var reportedNames = map[string]string{
	"application_name": "application_name",
	"timezone":         "TimeZone",
	"datestyle":        "DateStyle",
	"intervalstyle":    "IntervalStyle",
	"search_path":      "search_path",
}

// queueParameterStatus queues a ParameterStatus for a changed setting that
// PostgreSQL reports.
func (s *session) queueParameterStatus(change setting) {
	name, ok := reportedNames[change.name]
	if !ok || change.reset {
		return
	}
	s.queue(&pgproto3.ParameterStatus{Name: name, Value: change.value})
}
