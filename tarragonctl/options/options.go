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

// DefaultTimeout is the default timeout of one call. It exceeds the 15 s that a push can
// take.
const DefaultTimeout = 20 * time.Second

// Options are the options of all commands.
type Options struct {
	// Daemon is the host:port of the operator API of the daemon that is called first.
	// Commands about all daemons get the addresses of the others from it.
	Daemon string `toml:"daemon"`
	// Token is the bearer token of the operator API.
	Token string `toml:"token"`
	// Timeout limits one call.
	Timeout time.Duration `toml:"timeout"`
	// Authorities is the path of a PEM file with the certificate authorities of daemons.
	// Calls use TLS if Authorities or Certificate is set.
	Authorities string `toml:"authorities"`
	// Certificate and Key are the paths of PEM files for the client certificate.
	Certificate string         `toml:"certificate"`
	Key         string         `toml:"key"`
	Output      printer.Format `toml:"output"`
}

// Flags returns the command-line flags for the options, with their environment
// variables.
func Flags() []cli.Flag {
	stringFlag := func(name, env, usage string) cli.Flag {
		return &cli.StringFlag{Name: name, Usage: usage, Sources: cli.EnvVars(env)}
	}
	return []cli.Flag{
		stringFlag("settings", "TARRAGONCTL_SETTINGS", "TOML file with the options below"),
		stringFlag("daemon", "TARRAGONCTL_DAEMON", "host:port of a daemon's operator API (default 127.0.0.1:7432)"),
		stringFlag("token", "TARRAGONCTL_TOKEN", "bearer token of the operator API"),
		stringFlag("authorities", "TARRAGONCTL_AUTHORITIES", "PEM file of the certificate authorities of the daemons; enables TLS"),
		stringFlag("certificate", "TARRAGONCTL_CERTIFICATE", "PEM file of the client certificate; enables TLS"),
		stringFlag("key", "TARRAGONCTL_KEY", "PEM file of the client certificate's private key"),
		stringFlag("output", "TARRAGONCTL_OUTPUT", "output format: table, json, or html for timeline only (default table)"),
		&cli.DurationFlag{Name: "timeout", Usage: "timeout of one call (default 20s)", Sources: cli.EnvVars("TARRAGONCTL_TIMEOUT")},
	}
}

// Read returns the options of a command. Its errors are of type [client.Failure] with
// [client.ExitUsage]. Keys of the file that are not options are an error.
func Read(c *cli.Command) (Options, error) {
	o := Options{Daemon: "127.0.0.1:7432", Timeout: DefaultTimeout, Output: printer.Table}
	if path := c.String("settings"); path != "" {
		meta, err := toml.DecodeFile(path, &o)
		if err != nil {
			return o, usageError("settings %s: %v", path, err)
		}
		if unknown := meta.Undecoded(); len(unknown) > 0 {
			return o, usageError("settings %s: unknown keys %v", path, unknown)
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
		return o, usageError("the timeout must be positive")
	}
	return o, nil
}

// Client returns a client that is configured by the options. It returns a
// [client.Failure] with [client.ExitUsage] if a PEM file cannot be read or is invalid.
func (o Options) Client() (*client.Client, error) {
	config := client.Config{Token: o.Token, Timeout: o.Timeout}
	if o.Authorities != "" || o.Certificate != "" {
		tlsConfig, err := o.tlsConfig()
		if err != nil {
			return nil, err
		}
		config.TLS = tlsConfig
	}
	return client.New(config), nil
}

func (o Options) tlsConfig() (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if o.Authorities != "" {
		pem, err := os.ReadFile(o.Authorities)
		if err != nil {
			return nil, usageError("authorities: %v", err)
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return nil, usageError("authorities: %s contains no certificate", o.Authorities)
		}
	}
	if o.Certificate != "" {
		pair, err := tls.LoadX509KeyPair(o.Certificate, o.Key)
		if err != nil {
			return nil, usageError("certificate: %v", err)
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return config, nil
}

// override sets value to replacement unless replacement is empty.
func override(value *string, replacement string) {
	if replacement != "" {
		*value = replacement
	}
}

func usageError(format string, args ...any) error {
	return &client.Failure{Exit: client.ExitUsage, Detail: fmt.Sprintf(format, args...)}
}
