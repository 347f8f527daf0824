// Package client calls the operator APIs of daemons.
//
// # Errors
//
// Each error is a [Failure], which holds the exit code of the program. Its cause is a
// refusal with its numbered result code, an unreachable daemon, or a wrong token.
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
	// ExitFailure is for errors without a code of their own.
	ExitFailure = 1
	// ExitUsage is for invalid flags, arguments and settings.
	ExitUsage = 2
	// ExitRefused is for refused requests, which had no effect.
	ExitRefused = 3
	// ExitUnknown is for requests that may or may not have taken effect.
	ExitUnknown = 4
	// ExitUnreachable is for daemons that cannot be reached or reject the credentials.
	ExitUnreachable = 5
	// ExitPartial is for results that lack the answers of some daemons.
	ExitPartial = 6
)

// Failure is an error with an exit code. Code is zero if the error has no result code.
// Problems are those of a refused manifest.
type Failure struct {
	Exit     int
	Code     result.Code
	Detail   string
	Problems []*types.Problem
}

// Error implements error. It returns the detail.
func (f *Failure) Error() string { return f.Detail }

// ExitCode returns the exit code of the program.
func (f *Failure) ExitCode() int { return f.Exit }

// Config holds the settings for calls to daemons.
type Config struct {
	// Token is the bearer token of the operator API. If it is empty, calls carry none.
	Token string
	// TLS is nil for plain HTTP.
	TLS *tls.Config
	// Timeout limits both the dial and a whole call.
	Timeout time.Duration
}

// Client calls the operator APIs of daemons. It is safe for concurrent use.
type Client struct {
	config Config
	http   *http.Client
}

// New returns a Client. Connections are opened by the first calls.
func New(config Config) *Client {
	dial := &net.Dialer{Timeout: config.Timeout}
	transport := &http.Transport{DialContext: dial.DialContext, TLSClientConfig: config.TLS}
	return &Client{config: config, http: &http.Client{Transport: tokenTransport{config.Token, transport}, Timeout: config.Timeout}}
}

// tokenTransport adds the bearer token to each request. It turns a response with status
// 401 into a [Failure].
type tokenTransport struct {
	token string
	next  http.RoundTripper
}

// RoundTrip implements [http.RoundTripper].
func (a tokenTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if a.token != "" {
		r = r.Clone(r.Context())
		r.Header.Set("Authorization", "Bearer "+a.token)
	}
	response, err := a.next.RoundTrip(r)
	if err == nil && response.StatusCode == http.StatusUnauthorized {
		_ = response.Body.Close()
		return nil, &Failure{Exit: ExitUnreachable, Code: result.CredentialsRefused, Detail: "the daemon rejected the bearer token"}
	}
	return response, err
}

// Daemon calls the operator API of one daemon. It is safe for concurrent use.
type Daemon struct {
	// Address is the host:port of the operator API.
	Address   string
	daemons   *daemonclient.Client
	groups    *groupclient.Client
	manifests *manifestclient.Client
}

// Daemon returns the client of the operator API at address, a host:port.
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

// call invokes an endpoint and converts its error to a [Failure].
func call[A any](ctx context.Context, d *Daemon, endpoint func(context.Context, any) (any, error), payload any) (A, error) {
	answer, err := endpoint(ctx, payload)
	if err != nil {
		var zero A
		return zero, d.toFailure(err)
	}
	typed, _ := answer.(A)
	return typed, nil
}

// toFailure converts the error of a call to a [Failure]. An error that is not a response
// of the daemon becomes one with [ExitUnreachable].
func (d *Daemon) toFailure(err error) error {
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
	return &Failure{Exit: ExitUnreachable, Detail: fmt.Sprintf("cannot reach %s: %v", d.Address, err)}
}

// Status returns the state of the daemon.
func (d *Daemon) Status(ctx context.Context) (*daemon.StatusResult, error) {
	return call[*daemon.StatusResult](ctx, d, d.daemons.Status(), nil)
}

// Version returns the version of the daemon.
func (d *Daemon) Version(ctx context.Context) (*daemon.VersionResult, error) {
	return call[*daemon.VersionResult](ctx, d, d.daemons.Version(), nil)
}

// Sessions returns at most limit of the callers' sessions on the daemon.
func (d *Daemon) Sessions(ctx context.Context, limit int) (*daemon.SessionsResult, error) {
	return call[*daemon.SessionsResult](ctx, d, d.daemons.Sessions(), &daemon.SessionsPayload{Limit: limit})
}

// Drain starts to drain the daemon. It does not wait for the end of the drain.
func (d *Daemon) Drain(ctx context.Context) error {
	_, err := call[any](ctx, d, d.daemons.Drain(), nil)
	return err
}

// Timeline returns one page of the events that the daemon recorded after since, at most
// 10,000. The result reports whether there are more.
func (d *Daemon) Timeline(ctx context.Context, since types.HybridTime) (*daemon.TimelineResult, error) {
	payload := &daemon.TimelinePayload{SinceWall: since.Wall, SinceCounter: since.Counter, Limit: maxEventsPerCall}
	return call[*daemon.TimelineResult](ctx, d, d.daemons.Timeline(), payload)
}

// maxEventsPerCall is the largest number of events that one call requests.
const maxEventsPerCall = 10_000

// Groups returns the groups with the state that the daemon has of them, which may be
// stale.
func (d *Daemon) Groups(ctx context.Context) ([]*group.Group, error) {
	answer, err := call[*group.ListResult](ctx, d, d.groups.List(), nil)
	if err != nil {
		return nil, err
	}
	return answer.Groups, nil
}

// ChangePrimary makes the instance named by to the primary of the group and returns the
// name of the new primary. If to is empty, the daemon chooses the instance.
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

// Push submits a manifest and returns the accepted record. It returns a [Failure] with
// [ExitUnknown] if the outcome is unknown; the call can then be repeated with the same
// push id.
func (d *Daemon) Push(ctx context.Context, payload *manifest.PushPayload) (*types.ManifestRecord, error) {
	record, err := call[*types.ManifestRecord](ctx, d, d.manifests.Push(), payload)
	var failure *Failure
	if errors.As(err, &failure) && failure.Exit == ExitUnreachable && failure.Code == 0 {
		failure.Exit = ExitUnknown // The daemon may have received the push.
	}
	return record, err
}

// Manifest returns a version of the manifest. Version zero is the one in force on the
// daemon.
func (d *Daemon) Manifest(ctx context.Context, version uint64) (*manifest.ShowResult, error) {
	return call[*manifest.ShowResult](ctx, d, d.manifests.Show(), &manifest.ShowPayload{Version: version})
}

// History returns the records of at most limit accepted manifests, latest first.
func (d *Daemon) History(ctx context.Context, limit int) ([]*types.ManifestRecord, error) {
	answer, err := call[*manifest.HistoryResult](ctx, d, d.manifests.History(), &manifest.HistoryPayload{Limit: limit})
	if err != nil {
		return nil, err
	}
	return answer.Records, nil
}

// Accepted returns the record of the manifest that is accepted according to the
// platform.
func (d *Daemon) Accepted(ctx context.Context) (*types.ManifestRecord, error) {
	return call[*types.ManifestRecord](ctx, d, d.manifests.Accepted(), nil)
}
