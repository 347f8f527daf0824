package deployer_test

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"

	"tarragonshed.example/standin/deployer"
	"tarragonshed.example/tarragonshed/settings"
)

func newAuthority(t *testing.T) *deployer.Authority {
	t.Helper()
	a, err := deployer.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// request sends a request to a peer endpoint, with the certificate of the settings if
// there is one, and returns the error.
func request(ctx context.Context, t *testing.T, address string, s settings.TLS) error {
	t.Helper()
	config := &tls.Config{InsecureSkipVerify: true}
	if s.Enabled() {
		pair, err := tls.LoadX509KeyPair(s.Certificate, s.Key)
		if err != nil {
			t.Fatal(err)
		}
		config.Certificates = []tls.Certificate{pair}
	}
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: config, ForceAttemptHTTP2: true}}
	defer client.CloseIdleConnections()
	get, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+address, nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := client.Do(get)
	if err == nil {
		response.Body.Close()
	}
	return err
}

func TestTLS(t *testing.T) {
	authority := newAuthority(t)
	ctx, d := deploy(t, deployer.WithAuthority(authority))

	t.Run("requests are served across daemons and failure domains", func(t *testing.T) {
		first := connect(ctx, t, d, "lautoka-shed-1")
		run(ctx, t, first, "CREATE TABLE batches (id integer primary key, charge text)")
		run(ctx, t, first, "INSERT INTO batches VALUES ($1, $2)", 1, "rag")
		expectCount(ctx, t, connect(ctx, t, d, "labasa-loft-2"), 1)
	})
	t.Run("a caller without TLS is refused", func(t *testing.T) {
		is := is.New(t)
		url := strings.Split(d.URL("lautoka-shed-1", group), "?")[0]
		_, err := pgx.Connect(ctx, url+"?sslmode=disable")
		var refusal *pgconn.PgError
		is.True(errors.As(err, &refusal))
		is.True(strings.HasPrefix(refusal.Message, "TS1010"))
	})
	peer := d.Daemons()[0].PeerAddress
	own, err := authority.Issue("labasa-loft-1")
	if err != nil {
		t.Fatal(err)
	}
	unknown, err := authority.Issue("somebody")
	if err != nil {
		t.Fatal(err)
	}
	foreign, err := newAuthority(t).Issue("labasa-loft-1")
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		certificate settings.TLS
		accepted    bool
	}{
		"a daemon's certificate":             {own, true},
		"no certificate":                     {settings.TLS{}, false},
		"a name that no daemon has":          {unknown, false},
		"a certificate of another authority": {foreign, false},
	} {
		t.Run(fmt.Sprintf("a peer with %s is accepted: %v", name, c.accepted), func(t *testing.T) {
			is := is.New(t)
			err := request(ctx, t, peer, c.certificate)
			for c.accepted && err != nil && ctx.Err() == nil {
				// The daemon may not have discovered the other one yet.
				time.Sleep(time.Millisecond)
				err = request(ctx, t, peer, c.certificate)
			}
			is.Equal(err == nil, c.accepted)
		})
	}
}
