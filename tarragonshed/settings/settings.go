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
// All problems of a file are reported together, each with its line if it has one.
// Unknown keys are rejected.
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

// Limits of the values of settings.
const (
	MinMessageBytes Bytes = 1 << 10
	MaxMessageBytes Bytes = 1 << 30
	MinTimeout            = 10 * time.Millisecond
	MaxTimeout            = time.Hour
	// batchesInMemory is the number of largest batches for which there must be memory.
	batchesInMemory = 4
	MaxConnections  = 100_000
	// MaxDocumentBytes bounds the size of a settings file.
	MaxDocumentBytes Bytes = 1 << 20
)

// Settings are the settings of one daemon.
type Settings struct {
	ID unit.DaemonID `toml:"id"`
	// Incarnation distinguishes successive runs of the VM and is the number that
	// the platform's list of VMs has for it. If it is zero, the daemon uses its start
	// time in nanoseconds; marks in the list, such as leaving, then don't apply to it.
	Incarnation unit.Incarnation `toml:"incarnation"`
	Domain      unit.DomainName  `toml:"domain"`
	Callers     Callers          `toml:"callers"`
	Peers       Peers            `toml:"peers"`
	Operator    Operator         `toml:"operator"`
	Platform    Platform         `toml:"platform"`
	Targets     Targets          `toml:"targets"`
	Log         Log              `toml:"log"`
}

// Callers are the settings of the endpoint for callers.
type Callers struct {
	Listen string `toml:"listen"`
	// Advertise is the address that other daemons and tools use to connect. If it
	// is empty, they use the address of the listener.
	Advertise       string `toml:"advertise"`
	MaxConnections  int    `toml:"max-connections"`
	MaxMessageBytes Bytes  `toml:"max-message-bytes"`
	// MaxConnectionsPerCaller is MaxConnections if it is zero.
	MaxConnectionsPerCaller int `toml:"max-connections-per-caller"`
	// MemoryBytes is the memory of all sessions together for large batches. If it is zero,
	// it is derived from MaxMessageBytes.
	MemoryBytes      Bytes         `toml:"memory-bytes"`
	StartupTimeout   time.Duration `toml:"startup-timeout"`
	StatementTimeout time.Duration `toml:"statement-timeout"`
	// RequireTLS rejects connections of callers without TLS.
	RequireTLS bool `toml:"require-tls"`
	TLS        TLS  `toml:"tls"`
}

// Peers are the settings of the endpoint for other daemons.
type Peers struct {
	Listen    string `toml:"listen"`
	Advertise string `toml:"advertise"`
	// Plaintext allows connections between daemons without TLS.
	Plaintext bool `toml:"plaintext"`
	// Seeds are the peer addresses of daemons to contact while no other daemon is
	// known.
	Seeds []string `toml:"seeds"`
	TLS   TLS      `toml:"tls"`
}

// Operator are the settings of the operator API, metrics and health checks.
type Operator struct {
	Listen    string `toml:"listen"`
	Advertise string `toml:"advertise"`
	// Token is the bearer token that the operator API requires. If it is empty, the
	// API requires a client certificate signed by TLS.Authorities.
	Token string `toml:"token"`
	TLS   TLS    `toml:"tls"`
}

// Platform are the settings of the client of the platform.
type Platform struct {
	URL     string        `toml:"url"`
	Timeout time.Duration `toml:"timeout"`
}

// Targets are the credentials for connections to database instances.
type Targets struct {
	User     string `toml:"user"`
	Password string `toml:"password"`
}

// TLS holds the paths of a PEM certificate, its key and the certificates of the
// authorities that sign peers' certificates.
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

// Default returns the default values of the settings.
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

// Problem is one error in a settings file.
type Problem struct {
	// Line is the line of the key, or of its table if the key is missing, counted
	// from 1. It is zero if the problem has no line.
	Line    int
	Key     string
	Message string
}

// String formats the problem with its result code, line and key.
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

// Problems are all problems of a settings file, ordered by line. They are an error
// if there is at least one.
type Problems []Problem

// Error returns the problems, one per line.
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
		return Settings{}, Problems{{Message: fmt.Sprintf("the file has %d bytes; the limit is %d", info.Size(), MaxDocumentBytes)}}
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

// checker collects the problems of one document.
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
	if n := s.Callers.MaxConnectionsPerCaller; n < 0 || n > s.Callers.MaxConnections {
		c.add("callers.max-connections-per-caller", "%d is not between 0 and max-connections, %d", n, s.Callers.MaxConnections)
	}
	if n, least := s.Callers.MemoryBytes, batchesInMemory*s.Callers.MaxMessageBytes; n != 0 && n < least {
		c.add("callers.memory-bytes", "%d is less than %d times max-message-bytes, %d", n, batchesInMemory, least)
	}
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", s.Log.Format, "text", "json")
	c.tls("callers.tls", s.Callers.TLS)
	c.tls("peers.tls", s.Peers.TLS)
	c.tls("operator.tls", s.Operator.TLS)
	if s.Callers.RequireTLS && !s.Callers.TLS.Enabled() {
		c.add("callers.require-tls", "callers.tls.certificate is not set")
	}
	if s.Callers.TLS.Authorities != "" {
		c.add("callers.tls.authorities", "client certificates are not supported for callers; they authenticate with SCRAM")
	}
	if !s.Peers.Plaintext && !s.Peers.TLS.Enabled() {
		c.add("peers.plaintext", "peers.tls.certificate is not set and plaintext is not allowed")
	}
	if s.Peers.Plaintext && s.Peers.TLS.Enabled() {
		c.add("peers.plaintext", "plaintext can't be allowed together with peers.tls.certificate")
	}
	if s.Peers.TLS.Enabled() && s.Peers.TLS.Authorities == "" {
		c.add("peers.tls.authorities", "is missing; it is required to verify the certificates of other daemons")
	}
	if s.Operator.Token == "" && s.Operator.TLS.Authorities == "" {
		c.add("operator.token", "the operator API requires a token or operator.tls.authorities")
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
		c.add(key, "%q is not of the form host:port", value)
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
		c.add(key, "certificate and key must be set together")
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
