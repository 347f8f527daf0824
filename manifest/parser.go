package manifest

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"net"
	"regexp"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/BurntSushi/toml"

	"tarragonshed.example/internal/locator"
	"tarragonshed.example/result"
	"tarragonshed.example/unit"
)

// Limits of a manifest.
const (
	MaxDocumentBytes    = 4 << 20
	MaxDomains          = 256
	MaxCallers          = 10_000
	MaxGroups           = 4096
	MaxInstances        = 9
	MaxNameBytes        = 63
	MaxSlots            = 1024
	MaxConnections      = 10_000
	MaxHomes            = 16
	MaxStalenessAllowed = 24 * time.Hour
	// DefaultHomes is the number of homes of a group that does not set it.
	DefaultHomes = 2
)

// Limits of a SCRAM verifier: its iteration count and the length of its keys.
const (
	minIterations = 4096
	maxIterations = 10_000_000
	sha256Bytes   = 32
)

var namePattern = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

// Parse decodes and validates a document. It does not stop at the first problem but
// returns all of them, ordered by line. The manifest is nil if any of them is an error
// rather than a warning.
func Parse(document []byte) (*Manifest, Problems) {
	if len(document) > MaxDocumentBytes {
		c := collector{}
		c.add(result.ManifestTooLarge, "", "the document has %d bytes; the limit is %d", len(document), MaxDocumentBytes)
		return nil, c.problems
	}
	if !utf8.Valid(document) {
		c := collector{}
		c.add(result.ManifestSyntax, "", "the document is not valid UTF-8")
		return nil, c.problems
	}
	root := make(map[string]any)
	if _, err := toml.Decode(string(document), &root); err != nil {
		return nil, Problems{syntaxProblem(err)}
	}
	c := &collector{lines: locator.New(string(document))}
	m := readManifest(newReader(c, "", root))
	problems := c.sorted()
	if problems.HasErrors() {
		return nil, problems
	}
	return m, problems
}

// Encode returns the document of a manifest. Equal manifests have equal documents.
func Encode(m *Manifest) ([]byte, error) {
	var buffer bytes.Buffer
	if err := toml.NewEncoder(&buffer).Encode(m); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// Digest returns the SHA-256 of a document in hex, under which the document is stored.
func Digest(document []byte) string {
	sum := sha256.Sum256(document)
	return hex.EncodeToString(sum[:])
}

func syntaxProblem(err error) Problem {
	problem := Problem{Code: result.ManifestSyntax, Detail: err.Error()}
	var parse toml.ParseError
	if errors.As(err, &parse) {
		problem.Line = parse.Position.Line
		problem.Path = parse.LastKey
		problem.Detail = parse.Message
		if problem.Detail == "" {
			problem.Detail = parse.Error()
		}
	}
	return problem
}

// checker validates a manifest while it is read. It holds the names and addresses that
// have been read so far.
type checker struct {
	domains   map[unit.DomainName]bool
	groups    map[unit.GroupName]bool
	names     map[string]string
	addresses map[string]string
}

func readManifest(root *reader) *Manifest {
	m := &Manifest{}
	k := &checker{
		domains: make(map[unit.DomainName]bool), groups: make(map[unit.GroupName]bool),
		names: make(map[string]string), addresses: make(map[string]string),
	}
	for _, r := range root.tables("domains", MaxDomains, true) {
		m.Domains = append(m.Domains, k.domain(r))
	}
	for _, r := range root.tables("groups", MaxGroups, false) {
		m.Groups = append(m.Groups, k.group(r))
	}
	for _, r := range root.tables("callers", MaxCallers, false) {
		m.Callers = append(m.Callers, k.caller(r))
	}
	root.reportUnknownKeys()
	return m
}

func (k *checker) domain(r *reader) Domain {
	d := Domain{
		Name:   unit.DomainName(k.name(r, "domain")),
		Region: unit.RegionName(r.text("region", true)),
	}
	k.domains[d.Name] = true
	r.reportUnknownKeys()
	return d
}

func (k *checker) caller(r *reader) Caller {
	c := Caller{
		Name:        unit.CallerName(k.name(r, "caller")),
		SCRAMSecret: r.text("scram-secret", true),
	}
	if c.SCRAMSecret != "" {
		if problem := secretProblem(c.SCRAMSecret); problem != "" {
			r.add(result.ManifestSecret, locator.Join(r.path, "scram-secret"), "%s", problem)
		}
	}
	seen := make(map[string]bool)
	names, paths := r.textList("groups", MaxGroups)
	for i, name := range names {
		if seen[name] {
			r.add(result.ManifestDuplicate, paths[i], "group %q is listed twice", name)
		}
		seen[name] = true
		if !k.groups[unit.GroupName(name)] {
			r.add(result.ManifestUnknownName, paths[i], "unknown group %q", name)
		}
		c.Groups = append(c.Groups, unit.GroupName(name))
	}
	r.reportUnknownKeys()
	return c
}

func (k *checker) group(r *reader) Group {
	g := Group{
		Name:         unit.GroupName(k.name(r, "group")),
		Homes:        r.integer("homes", 1, MaxHomes, DefaultHomes, false),
		MaxStaleness: r.duration("max-staleness", MaxStalenessAllowed),
	}
	k.groups[g.Name] = true
	for _, table := range r.tables("instances", MaxInstances, true) {
		g.Instances = append(g.Instances, k.instance(table))
	}
	k.checkSpread(r, g)
	r.reportUnknownKeys()
	return g
}

func (k *checker) instance(r *reader) Instance {
	i := Instance{
		Name:        unit.InstanceName(k.name(r, "instance")),
		Domain:      unit.DomainName(r.text("domain", true)),
		Address:     r.text("address", true),
		Slots:       r.integer("slots", 1, MaxSlots, 0, true),
		Connections: r.integer("connections", 1, MaxConnections, 0, true),
		Leaving:     r.boolean("leaving"),
	}
	if i.Domain != "" && !k.domains[i.Domain] {
		r.add(result.ManifestUnknownName, locator.Join(r.path, "domain"), "unknown failure domain %q", i.Domain)
	}
	if i.Slots > 0 && i.Connections > 0 && i.Connections < i.Slots {
		r.add(result.ManifestRange, locator.Join(r.path, "connections"), "%d connections are fewer than %d slots", i.Connections, i.Slots)
	}
	k.address(r, i.Address)
	r.reportUnknownKeys()
	return i
}

func (k *checker) address(r *reader, address string) {
	if address == "" {
		return
	}
	path := locator.Join(r.path, "address")
	host, port, err := net.SplitHostPort(address)
	number, portErr := strconv.Atoi(port)
	if err != nil || portErr != nil || host == "" || number < 1 || number > 65535 {
		r.add(result.ManifestAddress, path, "%q is not of the form host:port", address)
		return
	}
	if first, ok := k.addresses[address]; ok {
		r.add(result.ManifestDuplicate, path, "%s has the same address %s", first, address)
		return
	}
	k.addresses[address] = r.path
}

// name reads a name that must be unique among those of its kind.
func (k *checker) name(r *reader, kind string) string {
	name := r.text("name", true)
	if name == "" {
		return ""
	}
	path := locator.Join(r.path, "name")
	if len(name) > MaxNameBytes || !namePattern.MatchString(name) {
		r.add(result.ManifestName, path, "%.80q is not a kebab-case name of at most %d bytes", name, MaxNameBytes)
	}
	if first, ok := k.names[kind+" "+name]; ok {
		r.add(result.ManifestDuplicate, path, "%s %q is defined twice, first at %s", kind, name, first)
		return name
	}
	k.names[kind+" "+name] = r.path
	return name
}

// checkSpread warns if the failure of one domain, or the removal of the leaving instances,
// leaves a group without a majority of its instances.
func (k *checker) checkSpread(r *reader, g Group) {
	counts := make(map[unit.DomainName]int)
	remaining := 0
	for _, i := range g.Instances {
		counts[i.Domain]++
		if !i.Leaving {
			remaining++
		}
	}
	majority := len(g.Instances)/2 + 1
	for domain, n := range counts {
		if n >= majority {
			r.add(result.ManifestSpread, r.path, "%d of %d instances are in failure domain %q; without it the group has no majority", n, len(g.Instances), domain)
		}
	}
	if len(g.Instances) > 0 && remaining < majority {
		r.add(result.ManifestSpread, r.path, "only %d of %d instances are not leaving, which is no majority", remaining, len(g.Instances))
	}
}

// secretProblem returns what is wrong with a verifier, which must have the form
// "SCRAM-SHA-256$iterations:salt$stored-key:server-key", or "" if it is valid.
func secretProblem(secret string) string {
	parts := strings.Split(secret, "$")
	if len(parts) != 3 || parts[0] != "SCRAM-SHA-256" {
		return "the secret is not of the form SCRAM-SHA-256$iterations:salt$stored-key:server-key"
	}
	iterations, salt, _ := strings.Cut(parts[1], ":")
	if n, err := strconv.Atoi(iterations); err != nil || n < minIterations || n > maxIterations {
		return "the iteration count is not between " + strconv.Itoa(minIterations) + " and " + strconv.Itoa(maxIterations)
	}
	if decoded, err := base64.StdEncoding.DecodeString(salt); err != nil || len(decoded) == 0 {
		return "the salt is not base64"
	}
	stored, server, _ := strings.Cut(parts[2], ":")
	for _, key := range []string{stored, server} {
		if decoded, err := base64.StdEncoding.DecodeString(key); err != nil || len(decoded) != sha256Bytes {
			return "a key is not 32 bytes in base64"
		}
	}
	return ""
}
