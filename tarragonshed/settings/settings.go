// Package settings reads and checks the settings file of a daemon.
//
// # Format
//
// Settings are a TOML document with kebab-case names:
//
//	id = "lautoka-shed-1"
//	domain = "lautoka-shed"
//
//	[callers]
//	listen = "127.0.0.1:6432"
//
//	[peers]
//	listen = "127.0.0.1:8432"
//	plaintext = true
//
//	[operator]
//	listen = "127.0.0.1:7432"
//	token = "change-me"
//
//	[platform]
//	url = "http://127.0.0.1:7300"
//
// docs/operators/settings.md lists every key with its default.
//
// # Usage
//
//	s, problems := settings.Load("daemon.toml")
//	if len(problems) > 0 {
//		return problems
//	}
//
// Every problem of a file is reported at once, with its line where the document
// has one. Unknown keys are refused.
package settings

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"tarragonshed.example/internal/locator"
	"tarragonshed.example/unit"
)

// Bytes is a number of bytes.
type Bytes int64

// Limits that settings are checked against.
const (
	MinMessageBytes Bytes = 1 << 10
	MaxMessageBytes Bytes = 1 << 30
	MinTimeout            = 10 * time.Millisecond
	MaxTimeout            = time.Hour
	MaxConnections        = 100_000
	// MaxDocumentBytes bounds the size of a settings file.
	MaxDocumentBytes Bytes = 1 << 20
)

// Settings are the settings of one daemon.
type Settings struct {
	ID unit.DaemonID `toml:"id"`
	// Incarnation tells the lives of the VM apart, as the platform's list of VMs
	// does. Zero takes the time of the start, to which marks of the list don't apply.
	Incarnation unit.Incarnation `toml:"incarnation"`
	Domain      unit.DomainName  `toml:"domain"`
	Callers     Callers          `toml:"callers"`
	Peers       Peers            `toml:"peers"`
	Operator    Operator         `toml:"operator"`
	Platform    Platform         `toml:"platform"`
	Targets     Targets          `toml:"targets"`
	Log         Log              `toml:"log"`
}

// Callers are the settings of the callers' side.
type Callers struct {
	Listen string `toml:"listen"`
	// Advertise is the address that other daemons and tools are told. Empty
	// means Listen.
	Advertise        string        `toml:"advertise"`
	MaxConnections   int           `toml:"max-connections"`
	MaxMessageBytes  Bytes         `toml:"max-message-bytes"`
	StartupTimeout   time.Duration `toml:"startup-timeout"`
	StatementTimeout time.Duration `toml:"statement-timeout"`
	// RequireTLS refuses callers that do not encrypt.
	RequireTLS bool `toml:"require-tls"`
	TLS        TLS  `toml:"tls"`
}

// Peers are the settings of the endpoint for other daemons.
type Peers struct {
	Listen    string `toml:"listen"`
	Advertise string `toml:"advertise"`
	// Plaintext allows connections between daemons without TLS.
	Plaintext bool `toml:"plaintext"`
	// Seeds are peer addresses to ask while no other daemon is known.
	Seeds []string `toml:"seeds"`
	TLS   TLS      `toml:"tls"`
}

// Operator are the settings of the operator API, metrics and health checks.
type Operator struct {
	Listen    string `toml:"listen"`
	Advertise string `toml:"advertise"`
	// Token is the bearer token that the operator API asks for.
	Token string `toml:"token"`
	TLS   TLS    `toml:"tls"`
}

// Platform are the settings of the platform's client.
type Platform struct {
	URL     string        `toml:"url"`
	Timeout time.Duration `toml:"timeout"`
}

// Targets are the credentials for instances.
type Targets struct {
	User     string `toml:"user"`
	Password string `toml:"password"`
}

// TLS names the files of a certificate, its key and the accepted authorities.
type TLS struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Authorities string `toml:"authorities"`
}

// Enabled reports whether a certificate is set.
func (t TLS) Enabled() bool { return t.Certificate != "" }

// Log are the settings of the log.
type Log struct {
	Level  string `toml:"level"`
	Format string `toml:"format"`
}

// Default returns the settings that hold where a file says nothing.
func Default() Settings {
	return Settings{
		Callers: Callers{
			MaxConnections:   5000,
			MaxMessageBytes:  16 << 20,
			StartupTimeout:   10 * time.Second,
			StatementTimeout: 30 * time.Second,
		},
		Platform: Platform{Timeout: 2 * time.Second},
		Targets:  Targets{User: "tarragon"},
		Log:      Log{Level: "info", Format: "text"},
	}
}

// Problem is one fault of a settings file.
type Problem struct {
	// Line is the line of the key, or of the table that lacks it, from 1. Zero stands
	// for the whole document.
	Line    int
	Key     string
	Message string
}

// String formats the problem for people.
func (p Problem) String() string {
	text := "TS5101 "
	if p.Line > 0 {
		text += fmt.Sprintf("line %d: ", p.Line)
	}
	if p.Key != "" {
		text += p.Key + ": "
	}
	return text + p.Message
}

// Problems are all faults of a settings file, ordered by line. It is an error when not empty.
type Problems []Problem

// Error lists the problems, one a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks a settings file.
func Load(path string) (Settings, Problems) {
	info, err := os.Stat(path)
	if err != nil {
		return Settings{}, Problems{{Message: err.Error()}}
	}
	if info.Size() > int64(MaxDocumentBytes) {
		return Settings{}, Problems{{Message: fmt.Sprintf("the file has %d bytes, more than %d", info.Size(), MaxDocumentBytes)}}
	}
	document, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, Problems{{Message: err.Error()}}
	}
	return Parse(document)
}

// Parse reads and checks a settings document.
func Parse(document []byte) (Settings, Problems) {
	s := Default()
	meta, err := toml.Decode(string(document), &s)
	if err != nil {
		return Settings{}, Problems{syntaxProblem(err)}
	}
	c := checker{lines: locator.New(string(document))}
	for _, key := range meta.Undecoded() {
		c.add(key.String(), "unknown key")
	}
	c.check(s)
	slices.SortStableFunc(c.problems, func(a, b Problem) int { return a.Line - b.Line })
	return s, c.problems
}

func syntaxProblem(err error) Problem {
	if parse, ok := err.(toml.ParseError); ok {
		return Problem{Line: parse.Position.Line, Key: parse.LastKey, Message: parse.Message}
	}
	return Problem{Message: err.Error()}
}

// checker gathers the problems of one document.
type checker struct {
	lines    locator.Lines
	problems Problems
}

func (c *checker) check(s Settings) {
	c.require("id", string(s.ID))
	c.require("domain", string(s.Domain))
	c.address("callers.listen", s.Callers.Listen, true)
	c.address("callers.advertise", s.Callers.Advertise, false)
	c.address("peers.listen", s.Peers.Listen, true)
	c.address("peers.advertise", s.Peers.Advertise, false)
	c.address("operator.listen", s.Operator.Listen, true)
	c.address("operator.advertise", s.Operator.Advertise, false)
	c.url("platform.url", s.Platform.URL)
	c.require("targets.user", s.Targets.User)
	c.timeout("callers.startup-timeout", s.Callers.StartupTimeout)
	c.timeout("callers.statement-timeout", s.Callers.StatementTimeout)
	c.timeout("platform.timeout", s.Platform.Timeout)
	if n := s.Callers.MaxConnections; n < 1 || n > MaxConnections {
		c.add("callers.max-connections", "%d is not between 1 and %d", n, MaxConnections)
	}
	if n := s.Callers.MaxMessageBytes; n < MinMessageBytes || n > MaxMessageBytes {
		c.add("callers.max-message-bytes", "%d is not between %d and %d", n, MinMessageBytes, MaxMessageBytes)
	}
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", s.Log.Format, "text", "json")
	c.tls("callers.tls", s.Callers.TLS)
	c.tls("peers.tls", s.Peers.TLS)
	c.tls("operator.tls", s.Operator.TLS)
	if s.Callers.RequireTLS && !s.Callers.TLS.Enabled() {
		c.add("callers.require-tls", "callers.tls names no certificate")
	}
	if s.Callers.TLS.Authorities != "" {
		c.add("callers.tls.authorities", "callers show no certificates; they authenticate by SCRAM")
	}
	if !s.Peers.Plaintext && !s.Peers.TLS.Enabled() {
		c.add("peers.plaintext", "peers.tls names no certificate and plaintext is not allowed")
	}
	if s.Peers.Plaintext && s.Peers.TLS.Enabled() {
		c.add("peers.plaintext", "plaintext is allowed although peers.tls names a certificate")
	}
	if s.Peers.TLS.Enabled() && s.Peers.TLS.Authorities == "" {
		c.add("peers.tls.authorities", "the authorities that sign the other daemons' certificates are missing")
	}
	if s.Operator.Token == "" && s.Operator.TLS.Authorities == "" {
		c.add("operator.token", "neither a token nor operator.tls.authorities guards the operator API")
	}
}

func (c *checker) add(key, format string, args ...any) {
	c.problems = append(c.problems, Problem{Line: c.lines.Line(key), Key: key, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) require(key, value string) {
	if value == "" {
		c.add(key, "is missing")
	}
}

func (c *checker) address(key, value string, required bool) {
	if value == "" {
		if required {
			c.add(key, "is missing")
		}
		return
	}
	if _, _, err := net.SplitHostPort(value); err != nil {
		c.add(key, "%q is not host:port", value)
	}
}

func (c *checker) url(key, value string) {
	parsed, err := url.Parse(value)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		c.add(key, "%q is not an http or https URL", value)
	}
}

func (c *checker) timeout(key string, value time.Duration) {
	if value < MinTimeout || value > MaxTimeout {
		c.add(key, "%v is not between %v and %v", value, MinTimeout, MaxTimeout)
	}
}

func (c *checker) oneOf(key, value string, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	c.add(key, "%q is not one of %s", value, strings.Join(allowed, ", "))
}

func (c *checker) tls(key string, t TLS) {
	if (t.Certificate == "") != (t.Key == "") {
		c.add(key, "certificate and key go together")
	}
	files := []struct{ name, path string }{
		{"certificate", t.Certificate}, {"key", t.Key}, {"authorities", t.Authorities},
	}
	for _, file := range files {
		if file.path == "" {
			continue
		}
		if _, err := os.Stat(file.path); err != nil {
			c.add(key+"."+file.name, "%v", err)
		}
	}
}
