package target

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// set executes the forms of SET.
func (s *session) set(p *parsed) error {
	i := 1
	local := p.at(1).is("local")
	if p.at(1).is("session") && p.at(2).is("characteristics") {
		for j := range p.tokens {
			if p.at(j).is("read") {
				s.put("default_transaction_read_only", map[bool]string{true: "on", false: "off"}[p.at(j+1).is("only")])
			}
		}
		return nil
	}
	if p.at(1).is("session", "local") {
		i++
	}
	if p.at(i).is("transaction") {
		s.applyModes(p)
		return nil
	}
	if p.at(i).is("time") && p.at(i+1).is("zone") {
		s.put("timezone", p.at(i+2).text)
		return nil
	}
	name := lower(p.at(i).text)
	for i++; p.at(i).is("."); i += 2 {
		name += "." + p.at(i+1).text
	}
	if !p.at(i).is("=", "to") || i+1 >= len(p.tokens) {
		return fail("42601", "syntax error in SET")
	}
	if _, changed := s.tx.local[name]; local && s.tx.explicit && !changed {
		s.tx.local[name] = s.settings[name]
	}
	value := p.at(i + 1).text
	if p.at(i+1).kind != stringToken {
		value = strings.TrimSpace(p.source[p.tokens[i+1].start:])
	}
	if lower(value) == "default" {
		value = s.initial[name]
	}
	s.put(name, value)
	return nil
}

func (s *session) put(name, value string) {
	if name == "default_transaction_read_only" {
		value = map[bool]string{true: "on", false: "off"}[value == "on" || value == "true" || value == "1" || value == "yes"]
	}
	s.settings[name] = value
	if shown, ok := reportedSettings[name]; ok {
		s.backend.Send(&pgproto3.ParameterStatus{Name: shown, Value: value})
	}
}

// reset restores the startup value of the named setting, or of all settings if name
// is "all".
func (s *session) reset(name string) {
	for changed, value := range s.settings {
		if initial := s.initial[changed]; value != initial && (name == "all" || name == changed) {
			s.put(changed, initial)
		}
	}
}

func (s *session) show(p *parsed, out *resultWriter) (string, error) {
	var words []string
	for _, t := range p.tokens[1:] {
		if !t.is(".") {
			words = append(words, t.text)
		}
	}
	name := strings.Join(words, "_")
	if p.at(2).is(".") {
		name = strings.Join(words, ".")
	}
	value, ok := s.settings[name]
	switch {
	case name == "transaction_read_only":
		value = map[bool]string{true: "on", false: "off"}[s.tx.readOnly || !s.target.log.isPrimary()]
	case name == "transaction_isolation_level":
		value = s.settings["transaction_isolation"]
	case !ok:
		return "", fail("42704", "unrecognized configuration parameter %q", name)
	}
	return "SHOW", out.single(name, value)
}
