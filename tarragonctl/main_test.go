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

// daemons is a daemon that knows another one, which can't be reached.
type daemons struct {
	daemon.Service
	address string
}

func (d *daemons) Status(context.Context) (*daemon.StatusResult, error) {
	entry := func(id, address string) *daemon.Daemon {
		return &daemon.Daemon{ID: id, State: "live", OperatorAddress: address}
	}
	all := []*daemon.Daemon{entry("d1", d.address)}
	if d.address == "" {
		all = append(all, entry("d2", "127.0.0.1:1"))
	}
	return &daemon.StatusResult{ID: "d1", State: "live", Manifest: &types.ManifestRecord{Version: 3}, Daemons: all}, nil
}

// manifests refuses each push with a code.
type manifests struct {
	manifest.Service
	code result.Code
}

func (m *manifests) Push(_ context.Context, p *manifest.PushPayload) (*types.ManifestRecord, error) {
	if m.code == 0 {
		return &types.ManifestRecord{Version: p.Base + 1}, nil
	}
	return nil, &types.Refusal{Name: "refused", Code: int(m.code), Outcome: string(m.code.Entry().Outcome), Detail: "refused"}
}

func (m *manifests) Show(context.Context, *manifest.ShowPayload) (*manifest.ShowResult, error) {
	return &manifest.ShowResult{Record: &types.ManifestRecord{Version: 3}, Document: []byte(document)}, nil
}

func serve(t *testing.T, code result.Code, whole bool) string {
	t.Helper()
	d := &daemons{}
	mux := goahttp.NewMuxer()
	daemonserver.Mount(mux, daemonserver.New(daemon.NewEndpoints(d), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, nil))
	manifestserver.Mount(mux, manifestserver.New(manifest.NewEndpoints(&manifests{code: code}), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, nil))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer secret" {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		mux.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	if whole {
		d.address = server.Listener.Addr().String()
	}
	return server.Listener.Addr().String()
}

func write(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file.toml")
	is.New(t).NoErr(os.WriteFile(path, []byte(content), 0o600))
	return path
}

func TestExitCodes(t *testing.T) {
	good, bad := write(t, document), write(t, "x = 1\n")
	cases := []struct {
		name      string
		exit      int
		code      result.Code
		whole     bool
		arguments []string
	}{
		{"check of a good document", client.ExitOK, 0, true, []string{"manifest", "check", good}},
		{"check of a bad document", client.ExitRefused, 0, true, []string{"manifest", "check", bad}},
		{"check without a file", client.ExitUsage, 0, true, []string{"manifest", "check"}},
		{"accepted push", client.ExitOK, 0, true, []string{"manifest", "push", "--base", "3", good}},
		{"refused push", client.ExitRefused, result.PushConflict, true, []string{"manifest", "push", "--base", "3", good}},
		{"unconfirmed push", client.ExitUnknown, result.PushUnconfirmed, true, []string{"manifest", "push", "--base", "3", good}},
		{"push without a base", client.ExitUsage, 0, true, []string{"manifest", "push", good}},
		{"diff", client.ExitOK, 0, true, []string{"manifest", "diff", good}},
		{"status of all daemons", client.ExitOK, 0, true, []string{"status"}},
		{"status with a daemon that is missing", client.ExitPartial, 0, false, []string{"--output", "json", "status"}},
		{"wrong token", client.ExitUnreachable, 0, true, []string{"--token", "wrong", "status"}},
		{"push with a wrong token", client.ExitUnreachable, 0, true, []string{"--token", "wrong", "manifest", "push", "--base", "3", good}},
		{"unreachable daemon", client.ExitUnreachable, 0, true, []string{"--daemon", "127.0.0.1:1", "status"}},
		{"unknown flag", client.ExitUsage, 0, true, []string{"status", "--surplus"}},
		{"unknown output", client.ExitUsage, 0, true, []string{"--output", "xml", "status"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address := serve(t, c.code, c.whole)
			t.Setenv("TARRAGONCTL_SETTINGS", write(t, "daemon = \""+address+"\"\ntoken = \"secret\"\n"))
			got := run(context.Background(), append([]string{"tarragonctl"}, c.arguments...))
			is.New(t).Equal(got, c.exit)
		})
	}
}
