package main_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	"tarragonshed.example/adopter"
	"tarragonshed.example/internal/allocator"
	"tarragonshed.example/manifest"
	"tarragonshed.example/standin/deployer"
	"tarragonshed.example/tarragonshed/platformer"
	"tarragonshed.example/tarragonshed/pusher"
	"tarragonshed.example/unit"
)

// stepTimeout bounds a step of a test.
const stepTimeout = time.Minute

// system is a deployment of separate processes.
type system struct {
	t         *testing.T
	folder    string
	platform  string
	targets   []string
	callers   []string
	processes map[string]*exec.Cmd
}

// freeAddress returns an address at which a process can listen later.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := allocator.FreeAddress()
	is.New(t).NoErr(err)
	return address
}

// start runs a built program until the test ends.
func (s *system) start(name, program string, args ...string) {
	s.t.Helper()
	command := exec.Command(filepath.Join(s.folder, program), args...)
	var output bytes.Buffer
	command.Stdout, command.Stderr = &output, &output
	if err := command.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.processes[name] = command
	s.t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
		if s.t.Failed() {
			s.t.Logf("output of %s:\n%s", name, output.String())
		}
	})
}

// build compiles a program of the workspace into the folder.
func (s *system) build(program string) {
	s.t.Helper()
	command := exec.Command("go", "build", "-o", filepath.Join(s.folder, program), "tarragonshed.example/"+program)
	if output, err := command.CombinedOutput(); err != nil {
		s.t.Fatalf("%v\n%s", err, output)
	}
}

// launch starts a platform, a group of three targets and two daemons.
func launch(t *testing.T) *system {
	t.Helper()
	s := &system{t: t, folder: t.TempDir(), platform: freeAddress(t), processes: make(map[string]*exec.Cmd)}
	s.build("standin")
	s.build("tarragonshed")
	s.start("platform", "standin", "platform", "--listen", s.platform)
	verifier, err := deployer.SCRAMSecret("demo", "demo")
	if err != nil {
		t.Fatal(err)
	}
	m := manifest.Manifest{
		Domains: []manifest.Domain{{Name: "lautoka-shed", Region: "viti-west"}},
		Callers: []manifest.Caller{{Name: "demo", SCRAMSecret: verifier}},
		Groups:  []manifest.Group{{Name: "ledger", Homes: 2}},
	}
	for i := range 3 {
		address := freeAddress(t)
		s.targets = append(s.targets, address)
		name := fmt.Sprintf("ledger-%c", 'a'+rune(i))
		m.Groups[0].Instances = append(m.Groups[0].Instances, manifest.Instance{
			Name: unit.InstanceName(name), Domain: "lautoka-shed", Address: address, Slots: 3, Connections: 20,
		})
		role := []string{"--primary"}
		if i > 0 {
			role = []string{"--follow", "ledger-a", "--follow-address", s.targets[0]}
		}
		s.start(name, "standin", append([]string{"target", "--name", name, "--group", "ledger", "--listen", address}, role...)...)
	}
	for i := range 2 {
		address := freeAddress(t)
		s.callers = append(s.callers, address)
		id := fmt.Sprintf("lautoka-shed-%d", i+1)
		s.start(id, "tarragonshed", "serve", "--settings", s.settings(id, address))
	}
	s.push(m)
	return s
}

func (s *system) settings(id, callers string) string {
	s.t.Helper()
	document := fmt.Sprintf(`id = %q
domain = "lautoka-shed"
[callers]
listen = %q
[peers]
listen = %q
plaintext = true
[operator]
listen = %q
token = "demo"
[platform]
url = "http://%s"
`, id, callers, freeAddress(s.t), freeAddress(s.t), s.platform)
	path := filepath.Join(s.folder, id+".toml")
	if err := os.WriteFile(path, []byte(document), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

// push pushes the manifest and retries until the platform serves requests.
func (s *system) push(m manifest.Manifest) {
	s.t.Helper()
	document, err := manifest.Encode(&m)
	if err != nil {
		s.t.Fatal(err)
	}
	client, err := platformer.New("http://" + s.platform)
	if err != nil {
		s.t.Fatal(err)
	}
	defer client.Close()
	s.eventually("push the manifest", func(ctx context.Context) error {
		_, err := pusher.New(client, nil).Push(ctx, adopter.Request{ID: "test", Document: document})
		return err
	})
}

// eventually repeats a step until it succeeds, and fails after stepTimeout.
func (s *system) eventually(what string, step func(context.Context) error) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	for {
		err := step(ctx)
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			s.t.Fatalf("%s: %v", what, err)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// connect opens a caller's connection to a daemon and retries until it is ready.
func (s *system) connect(daemon int) *pgx.Conn {
	s.t.Helper()
	var conn *pgx.Conn
	s.eventually("connect", func(ctx context.Context) error {
		var err error
		conn, err = pgx.Connect(ctx, fmt.Sprintf("postgres://demo:demo@%s/ledger?sslmode=disable", s.callers[daemon]))
		return err
	})
	s.t.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}

func (s *system) exec(conn *pgx.Conn, sql string, args ...any) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	if _, err := conn.Exec(ctx, sql, args...); err != nil {
		s.t.Fatalf("%s: %v", sql, err)
	}
}

func (s *system) expectCount(conn *pgx.Conn, want int) {
	s.t.Helper()
	is := is.New(s.t)
	var got int
	is.NoErr(conn.QueryRow(context.Background(), "SELECT count(*) FROM batches").Scan(&got))
	is.Equal(got, want)
}

func TestProcesses(t *testing.T) {
	s := launch(t)
	first := s.connect(0)
	s.exec(first, "CREATE TABLE batches (id integer primary key, charge text)")
	s.exec(first, "INSERT INTO batches VALUES ($1, $2)", 1, "rag")
	s.expectCount(s.connect(1), 1)

	// The process of the primary is killed.
	if err := s.processes["ledger-a"].Process.Kill(); err != nil {
		t.Fatal(err)
	}
	// A statement in flight at that time may have an unknown outcome and is
	// repeated, so this one is idempotent.
	s.eventually("write after the primary was killed", func(ctx context.Context) error {
		_, err := first.Exec(ctx, "INSERT INTO batches VALUES ($1, $2) ON CONFLICT (id) DO NOTHING", 2, "cotton")
		return err
	})
	s.expectCount(s.connect(1), 2)

	// A drained daemon exits with code 0 and closes the connections of idle callers.
	daemon := s.processes["lautoka-shed-1"]
	if err := daemon.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := daemon.Wait(); err != nil {
		t.Fatalf("the drained daemon exited with %v", err)
	}
	if _, err := first.Exec(context.Background(), "SELECT 1"); err == nil {
		t.Fatal("the drained daemon did not close the connection of its idle caller")
	}
	s.expectCount(s.connect(1), 2)
}

func TestBadSettings(t *testing.T) {
	s := &system{t: t, folder: t.TempDir()}
	s.build("tarragonshed")
	path := filepath.Join(s.folder, "bad.toml")
	is := is.New(t)
	is.NoErr(os.WriteFile(path, []byte("id = \"\"\ncolour = \"red\"\n"), 0o600))
	output, err := exec.Command(filepath.Join(s.folder, "tarragonshed"), "check", "--settings", path).CombinedOutput()
	var exit *exec.ExitError
	is.True(errors.As(err, &exit))
	is.Equal(exit.ExitCode(), 2)
	for _, want := range []string{"TS5101 line 1: id: is missing", "TS5101 line 2: colour: unknown key", "platform.url"} {
		is.True(strings.Contains(string(output), want)) // The output names the problem.
	}
}
