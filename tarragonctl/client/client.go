// Package client calls the operator APIs of daemons.
//
// # Errors
//
// Each error is a [Failure], which tells the exit code of the program: a refusal with
// its numbered result code, a daemon that can't be reached, or a wrong token.
//
// # Usage
//
//	c := client.New(client.Config{Token: "change-me"})
//	status, err := c.Daemon("127.0.0.1:7432").Status(ctx)
package client

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	goahttp "goa.design/goa/v3/http"

	"tarragonshed.example/result"
	"tarragonshed.example/wire/operator/gen/daemon"
	"tarragonshed.example/wire/operator/gen/group"
	daemonclient "tarragonshed.example/wire/operator/gen/http/daemon/client"
	groupclient "tarragonshed.example/wire/operator/gen/http/group/client"
	manifestclient "tarragonshed.example/wire/operator/gen/http/manifest/client"
	"tarragonshed.example/wire/operator/gen/manifest"
	"tarragonshed.example/wire/operator/gen/types"
)

// Exit codes of the program.
const (
	ExitOK = 0
	// ExitFailure is for what has no other code.
	ExitFailure = 1
	// ExitUsage is for wrong flags, arguments and settings.
	ExitUsage = 2
	// ExitRefused is for refusals: nothing took effect.
	ExitRefused = 3
	// ExitUnknown is for answers that don't tell whether it took effect.
	ExitUnknown = 4
	// ExitUnreachable is for daemons that can't be reached or refuse the credentials.
	ExitUnreachable = 5
	// ExitPartial is for answers in which some daemons are missing.
	ExitPartial = 6
)

// Failure is an error with an exit code.
type Failure struct {
	Exit     int
	Code     result.Code
	Detail   string
	Problems []*types.Problem
}

// Error returns the detail.
func (f *Failure) Error() string { return f.Detail }

// ExitCode returns the exit code of the program.
func (f *Failure) ExitCode() int { return f.Exit }

// Config tells how daemons are called.
type Config struct {
	Token string
	// TLS is nil for plain HTTP.
	TLS     *tls.Config
	Timeout time.Duration
}

// Client calls daemons. It is safe for concurrent use.
type Client struct {
	config Config
	http   *http.Client
}

// New returns a Client. It opens no connection.
func New(config Config) *Client {
	dial := &net.Dialer{Timeout: config.Timeout}
	transport := &http.Transport{DialContext: dial.DialContext, TLSClientConfig: config.TLS}
	return &Client{config: config, http: &http.Client{Transport: authorizer{config.Token, transport}, Timeout: config.Timeout}}
}

// authorizer adds the token to each call.
type authorizer struct {
	token string
	next  http.RoundTripper
}

// RoundTrip implements [http.RoundTripper].
func (a authorizer) RoundTrip(r *http.Request) (*http.Response, error) {
	if a.token != "" {
		r = r.Clone(r.Context())
		r.Header.Set("Authorization", "Bearer "+a.token)
	}
	response, err := a.next.RoundTrip(r)
	if err == nil && response.StatusCode == http.StatusUnauthorized {
		_ = response.Body.Close()
		return nil, &Failure{Exit: ExitUnreachable, Code: result.CredentialsRefused, Detail: "the daemon refuses the token"}
	}
	return response, err
}

// Daemon calls one daemon.
type Daemon struct {
	Address   string
	daemons   *daemonclient.Client
	groups    *groupclient.Client
	manifests *manifestclient.Client
}

// Daemon returns the caller of the operator API at host:port.
func (c *Client) Daemon(address string) *Daemon {
	scheme := "http"
	if c.config.TLS != nil {
		scheme = "https"
	}
	encode, decode := goahttp.RequestEncoder, goahttp.ResponseDecoder
	return &Daemon{
		Address:   address,
		daemons:   daemonclient.NewClient(scheme, address, c.http, encode, decode, false),
		groups:    groupclient.NewClient(scheme, address, c.http, encode, decode, false),
		manifests: manifestclient.NewClient(scheme, address, c.http, encode, decode, false),
	}
}

// call makes a call and turns its error into a Failure.
func call[A any](ctx context.Context, d *Daemon, endpoint func(context.Context, any) (any, error), payload any) (A, error) {
	answer, err := endpoint(ctx, payload)
	if err != nil {
		var none A
		return none, d.failure(err)
	}
	typed, _ := answer.(A)
	return typed, nil
}

func (d *Daemon) failure(err error) error {
	var refused *types.Refusal
	if errors.As(err, &refused) {
		f := &Failure{Exit: ExitRefused, Code: result.Code(refused.Code), Detail: refused.Detail, Problems: refused.Problems}
		if refused.Outcome != string(result.NotRun) {
			f.Exit = ExitUnknown
		}
		return f
	}
	var failure *Failure
	if errors.As(err, &failure) {
		return &Failure{Exit: failure.Exit, Code: failure.Code, Detail: d.Address + ": " + failure.Detail}
	}
	return &Failure{Exit: ExitUnreachable, Detail: fmt.Sprintf("%s can't be reached: %v", d.Address, err)}
}

// Status returns the state of the daemon.
func (d *Daemon) Status(ctx context.Context) (*daemon.StatusResult, error) {
	return call[*daemon.StatusResult](ctx, d, d.daemons.Status(), nil)
}

// Version returns the version of the daemon.
func (d *Daemon) Version(ctx context.Context) (*daemon.VersionResult, error) {
	return call[*daemon.VersionResult](ctx, d, d.daemons.Version(), nil)
}

// Sessions returns the callers' sessions of the daemon.
func (d *Daemon) Sessions(ctx context.Context, limit int) (*daemon.SessionsResult, error) {
	return call[*daemon.SessionsResult](ctx, d, d.daemons.Sessions(), &daemon.SessionsPayload{Limit: limit})
}

// Drain starts the drain of the daemon.
func (d *Daemon) Drain(ctx context.Context) error {
	_, err := call[any](ctx, d, d.daemons.Drain(), nil)
	return err
}

// Timeline returns the events of the daemon after a time.
func (d *Daemon) Timeline(ctx context.Context, since types.HybridTime) (*daemon.TimelineResult, error) {
	payload := &daemon.TimelinePayload{SinceWall: since.Wall, SinceCounter: since.Counter, Limit: maxEvents}
	return call[*daemon.TimelineResult](ctx, d, d.daemons.Timeline(), payload)
}

// maxEvents is the number of events that one call asks for.
const maxEvents = 10_000

// Groups returns the groups as the daemon knows them.
func (d *Daemon) Groups(ctx context.Context) ([]*group.Group, error) {
	answer, err := call[*group.ListResult](ctx, d, d.groups.List(), nil)
	if err != nil {
		return nil, err
	}
	return answer.Groups, nil
}

// ChangePrimary changes the primary of a group. An empty target leaves the choice to
// the daemon. It returns the new primary.
func (d *Daemon) ChangePrimary(ctx context.Context, name, to string) (string, error) {
	payload := &group.ChangePrimaryPayload{Group: name}
	if to != "" {
		payload.To = &to
	}
	answer, err := call[*group.ChangePrimaryResult](ctx, d, d.groups.ChangePrimary(), payload)
	if err != nil {
		return "", err
	}
	return answer.Primary, nil
}

// Push has a manifest accepted.
func (d *Daemon) Push(ctx context.Context, payload *manifest.PushPayload) (*types.ManifestRecord, error) {
	record, err := call[*types.ManifestRecord](ctx, d, d.manifests.Push(), payload)
	var failure *Failure
	if errors.As(err, &failure) && failure.Exit == ExitUnreachable && failure.Code == 0 {
		failure.Exit = ExitUnknown // The daemon may have been reached.
	}
	return record, err
}

// Manifest returns a version, or the one in force on the daemon for zero.
func (d *Daemon) Manifest(ctx context.Context, version uint64) (*manifest.ShowResult, error) {
	return call[*manifest.ShowResult](ctx, d, d.manifests.Show(), &manifest.ShowPayload{Version: version})
}

// History returns the accepted manifests, latest first.
func (d *Daemon) History(ctx context.Context, limit int) ([]*types.ManifestRecord, error) {
	answer, err := call[*manifest.HistoryResult](ctx, d, d.manifests.History(), &manifest.HistoryPayload{Limit: limit})
	if err != nil {
		return nil, err
	}
	return answer.Records, nil
}

// Accepted returns the record that the platform holds as accepted.
func (d *Daemon) Accepted(ctx context.Context) (*types.ManifestRecord, error) {
	return call[*types.ManifestRecord](ctx, d, d.manifests.Accepted(), nil)
}
