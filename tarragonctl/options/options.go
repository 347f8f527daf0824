// Package options reads the options of tarragonctl from flags, the environment and a
// TOML file, in this order of precedence.
//
// # File
//
// The file is named by --settings or TARRAGONCTL_SETTINGS:
//
//	daemon = "127.0.0.1:7432"
//	token = "change-me"
//	timeout = "5s"
//	authorities = "ca.pem"
//	certificate = "operator.pem"
//	key = "operator-key.pem"
//
// # Usage
//
//	root := &cli.Command{Flags: options.Flags()}
//	...
//	o, err := options.Read(command)
package options

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/urfave/cli/v3"

	"tarragonshed.example/tarragonctl/client"
	"tarragonshed.example/tarragonctl/printer"
)

// DefaultTimeout is the time that one call has. A push takes up to 15 s.
const DefaultTimeout = 20 * time.Second

// Options are the options of all commands.
type Options struct {
	// Daemon is the host:port of the operator API of the daemon that is asked first.
	Daemon  string        `toml:"daemon"`
	Token   string        `toml:"token"`
	Timeout time.Duration `toml:"timeout"`
	// Authorities is a PEM file. With it the calls are made over TLS.
	Authorities string         `toml:"authorities"`
	Certificate string         `toml:"certificate"`
	Key         string         `toml:"key"`
	Output      printer.Format `toml:"output"`
}

// Flags returns the flags of the options.
func Flags() []cli.Flag {
	text := func(name, env, usage string) cli.Flag {
		return &cli.StringFlag{Name: name, Usage: usage, Sources: cli.EnvVars(env)}
	}
	return []cli.Flag{
		text("settings", "TARRAGONCTL_SETTINGS", "TOML file with the options below"),
		text("daemon", "TARRAGONCTL_DAEMON", "host:port of a daemon's operator API (default 127.0.0.1:7432)"),
		text("token", "TARRAGONCTL_TOKEN", "bearer token of the operator API"),
		text("authorities", "TARRAGONCTL_AUTHORITIES", "PEM file of the authorities that sign daemons' certificates; asks for TLS"),
		text("certificate", "TARRAGONCTL_CERTIFICATE", "PEM file of the own certificate"),
		text("key", "TARRAGONCTL_KEY", "PEM file of the own key"),
		text("output", "TARRAGONCTL_OUTPUT", "table or json, and html for timeline (default table)"),
		&cli.DurationFlag{Name: "timeout", Usage: "time that one call has (default 20s)", Sources: cli.EnvVars("TARRAGONCTL_TIMEOUT")},
	}
}

// Read returns the options of a command. Errors have [client.ExitUsage].
func Read(c *cli.Command) (Options, error) {
	o := Options{Daemon: "127.0.0.1:7432", Timeout: DefaultTimeout, Output: printer.Table}
	if path := c.String("settings"); path != "" {
		meta, err := toml.DecodeFile(path, &o)
		if err != nil {
			return o, usage("settings %s: %v", path, err)
		}
		if unknown := meta.Undecoded(); len(unknown) > 0 {
			return o, usage("settings %s: unknown keys %v", path, unknown)
		}
	}
	override(&o.Daemon, c.String("daemon"))
	override(&o.Token, c.String("token"))
	override(&o.Authorities, c.String("authorities"))
	override(&o.Certificate, c.String("certificate"))
	override(&o.Key, c.String("key"))
	override((*string)(&o.Output), c.String("output"))
	if c.IsSet("timeout") {
		o.Timeout = c.Duration("timeout")
	}
	if o.Timeout <= 0 {
		return o, usage("the timeout has to be positive")
	}
	return o, nil
}

// Client returns a client by the options.
func (o Options) Client() (*client.Client, error) {
	config := client.Config{Token: o.Token, Timeout: o.Timeout}
	if o.Authorities != "" || o.Certificate != "" {
		tls, err := o.tls()
		if err != nil {
			return nil, err
		}
		config.TLS = tls
	}
	return client.New(config), nil
}

func (o Options) tls() (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if o.Authorities != "" {
		pem, err := os.ReadFile(o.Authorities)
		if err != nil {
			return nil, usage("authorities: %v", err)
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return nil, usage("authorities: %s holds no certificate", o.Authorities)
		}
	}
	if o.Certificate != "" {
		pair, err := tls.LoadX509KeyPair(o.Certificate, o.Key)
		if err != nil {
			return nil, usage("certificate: %v", err)
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return config, nil
}

func override(value *string, given string) {
	if given != "" {
		*value = given
	}
}

func usage(format string, args ...any) error {
	return &client.Failure{Exit: client.ExitUsage, Detail: fmt.Sprintf(format, args...)}
}
