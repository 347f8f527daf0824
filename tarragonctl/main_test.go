package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	goahttp "goa.design/goa/v3/http"

	"tarragonshed.example/result"
	"tarragonshed.example/tarragonctl/client"
	"tarragonshed.example/wire/operator/gen/daemon"
	daemonserver "tarragonshed.example/wire/operator/gen/http/daemon/server"
	manifestserver "tarragonshed.example/wire/operator/gen/http/manifest/server"
	"tarragonshed.example/wire/operator/gen/manifest"
	"tarragonshed.example/wire/operator/gen/types"
)

const document = "[[domains]]\nname = \"a\"\nregion = \"r\"\n"

// daemonService is a stand-in for the daemon service of an operator API. If address is
// empty, neither of the two daemons on its member list can be reached.
type daemonService struct {
	daemon.Service
	address string
}

func (d *daemonService) Status(context.Context) (*daemon.StatusResult, error) {
	member := func(id, address string) *daemon.Daemon {
		return &daemon.Daemon{ID: id, State: "live", OperatorAddress: address}
	}
	all := []*daemon.Daemon{member("d1", d.address)}
	if d.address == "" {
		all = append(all, member("d2", "127.0.0.1:1"))
	}
	return &daemon.StatusResult{ID: "d1", State: "live", Manifest: &types.ManifestRecord{Version: 3}, Daemons: all}, nil
}

// manifestService is a stand-in for the manifest service of an operator API. It refuses
// pushes with code, and accepts them if code is zero.
type manifestService struct {
	manifest.Service
	code result.Code
}

func (m *manifestService) Push(_ context.Context, p *manifest.PushPayload) (*types.ManifestRecord, error) {
	if m.code == 0 {
		return &types.ManifestRecord{Version: p.Base + 1}, nil
	}
	return nil, &types.Refusal{Name: "refused", Code: int(m.code), Outcome: string(m.code.Entry().Outcome), Detail: "refused"}
}

func (m *manifestService) Show(context.Context, *manifest.ShowPayload) (*manifest.ShowResult, error) {
	return &manifest.ShowResult{Record: &types.ManifestRecord{Version: 3}, Document: []byte(document)}, nil
}

// startDaemon serves the operator API of a stand-in for a daemon, with the token "secret",
// and returns its address. Pushes get code. If complete is false, its member list names
// daemons that cannot be reached.
func startDaemon(t *testing.T, code result.Code, complete bool) string {
	t.Helper()
	d := &daemonService{}
	mux := goahttp.NewMuxer()
	daemonserver.Mount(mux, daemonserver.New(daemon.NewEndpoints(d), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, nil))
	manifestserver.Mount(mux, manifestserver.New(manifest.NewEndpoints(&manifestService{code: code}), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, nil))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer secret" {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		mux.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	if complete {
		d.address = server.Listener.Addr().String()
	}
	return server.Listener.Addr().String()
}

func writeFile(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file.toml")
	is.New(t).NoErr(os.WriteFile(path, []byte(content), 0o600))
	return path
}

func TestExitCodes(t *testing.T) {
	valid, invalid := writeFile(t, document), writeFile(t, "x = 1\n")
	cases := []struct {
		name      string
		exit      int
		code      result.Code
		complete  bool
		arguments []string
	}{
		{"check of a valid document", client.ExitOK, 0, true, []string{"manifest", "check", valid}},
		{"check of an invalid document", client.ExitRefused, 0, true, []string{"manifest", "check", invalid}},
		{"check without a file", client.ExitUsage, 0, true, []string{"manifest", "check"}},
		{"accepted push", client.ExitOK, 0, true, []string{"manifest", "push", "--base", "3", valid}},
		{"refused push", client.ExitRefused, result.PushConflict, true, []string{"manifest", "push", "--base", "3", valid}},
		{"unconfirmed push", client.ExitUnknown, result.PushUnconfirmed, true, []string{"manifest", "push", "--base", "3", valid}},
		{"push without a base", client.ExitUsage, 0, true, []string{"manifest", "push", valid}},
		{"diff", client.ExitOK, 0, true, []string{"manifest", "diff", valid}},
		{"status of all daemons", client.ExitOK, 0, true, []string{"status"}},
		{"status with an unreachable daemon", client.ExitPartial, 0, false, []string{"--output", "json", "status"}},
		{"wrong token", client.ExitUnreachable, 0, true, []string{"--token", "wrong", "status"}},
		{"push with a wrong token", client.ExitUnreachable, 0, true, []string{"--token", "wrong", "manifest", "push", "--base", "3", valid}},
		{"unreachable daemon", client.ExitUnreachable, 0, true, []string{"--daemon", "127.0.0.1:1", "status"}},
		{"unknown flag", client.ExitUsage, 0, true, []string{"status", "--surplus"}},
		{"unknown output", client.ExitUsage, 0, true, []string{"--output", "xml", "status"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address := startDaemon(t, c.code, c.complete)
			t.Setenv("TARRAGONCTL_SETTINGS", writeFile(t, "daemon = \""+address+"\"\ntoken = \"secret\"\n"))
			got := run(context.Background(), append([]string{"tarragonctl"}, c.arguments...))
			is.New(t).Equal(got, c.exit)
		})
	}
}
