// Package authenticator authenticates callers by SCRAM-SHA-256.
//
// # Verifiers
//
// The manifest holds verifiers in the format of PostgreSQL, from which the
// password can't be derived:
//
//	SCRAM-SHA-256$4096:<salt>$<stored key>:<server key>
//
// # Unknown callers
//
// The exchange for an unknown name has the same messages, with a salt that is
// constant for the name, so that a client can't find out which names exist.
//
// # Usage
//
//	auth := authenticator.New()
//	exchange := auth.Begin("demo", caller.SCRAMSecret)
//	reply, done, err := exchange.Step(message)
package authenticator

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
	"github.com/xdg-go/scram"
)

// Mechanism is the name of the only SASL mechanism supported.
const Mechanism = "SCRAM-SHA-256"

const (
	mockIterations = 4096
	mockSaltSize   = 16
	keySize        = sha256.Size
)

// Authenticator begins authentication exchanges.
type Authenticator struct {
	mockKey [keySize]byte
}

// New returns an Authenticator with a random key for the salts of unknown
// callers.
func New() *Authenticator {
	a := &Authenticator{}
	rand.Read(a.mockKey[:]) // rand.Read never returns an error.
	return a
}

// Exchange is the authentication of one caller connection.
type Exchange struct {
	conversation *scram.ServerConversation
}

// Begin begins the authentication of a caller. An empty verifier denotes an
// unknown caller, whose authentication fails with every password.
func (a *Authenticator) Begin(name, verifier string) (*Exchange, error) {
	credentials, err := a.mockCredentials(name), error(nil)
	if verifier != "" {
		credentials, err = Parse(verifier)
	}
	if err != nil {
		return nil, trace.Wrap(err)
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return credentials, nil })
	if err != nil {
		return nil, trace.Wrap(err, "authenticator: ")
	}
	return &Exchange{conversation: server.NewConversation()}, nil
}

// Step processes one message of the caller and returns the reply. The result done
// reports whether the caller has been authenticated.
func (e *Exchange) Step(message string) (reply string, done bool, err error) {
	reply, err = e.conversation.Step(message)
	if err != nil {
		return "", false, trace.Wrap(err, "authenticator: ")
	}
	return reply, e.conversation.Done() && e.conversation.Valid(), nil
}

// mockCredentials returns credentials for an unknown caller. They are derived from
// the name, so that repeated attempts get the same salt.
func (a *Authenticator) mockCredentials(name string) scram.StoredCredentials {
	derive := func(use string) []byte {
		mac := hmac.New(sha256.New, a.mockKey[:])
		mac.Write([]byte(use + "\x00" + name))
		return mac.Sum(nil)
	}
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(derive("salt")[:mockSaltSize]), Iters: mockIterations},
		StoredKey:  derive("stored key"),
		ServerKey:  derive("server key"),
	}
}

// Parse parses a verifier of the form described in the package comment.
func Parse(verifier string) (scram.StoredCredentials, error) {
	var none scram.StoredCredentials
	parts := strings.Split(verifier, "$")
	if len(parts) != 3 || parts[0] != Mechanism {
		return none, trace.BadParameter("authenticator: the verifier is not of the form %s$iterations:salt$stored-key:server-key", Mechanism)
	}
	iterationsText, saltText, ok := strings.Cut(parts[1], ":")
	storedText, serverText, ok2 := strings.Cut(parts[2], ":")
	if !ok || !ok2 {
		return none, trace.BadParameter("authenticator: the verifier lacks the colon between iterations and salt or between stored key and server key")
	}
	iterations, err := strconv.Atoi(iterationsText)
	if err != nil || iterations < 1 {
		return none, trace.BadParameter("authenticator: the verifier's iteration count is not a positive integer")
	}
	salt, err := base64.StdEncoding.DecodeString(saltText)
	if err != nil {
		return none, trace.BadParameter("authenticator: the verifier's salt is not base64")
	}
	stored, err := base64.StdEncoding.DecodeString(storedText)
	if err != nil || len(stored) != keySize {
		return none, trace.BadParameter("authenticator: the verifier's stored key is not %d bytes in base64", keySize)
	}
	server, err := base64.StdEncoding.DecodeString(serverText)
	if err != nil || len(server) != keySize {
		return none, trace.BadParameter("authenticator: the verifier's server key is not %d bytes in base64", keySize)
	}
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(salt), Iters: iterations},
		StoredKey:  stored,
		ServerKey:  server,
	}, nil
}

// Verifier returns the verifier of a password for a salt and a number of
// iterations.
func Verifier(password string, salt []byte, iterations int) (string, error) {
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return "", trace.Wrap(err, "authenticator: ")
	}
	credentials, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: iterations})
	if err != nil {
		return "", trace.Wrap(err, "authenticator: ")
	}
	encode := base64.StdEncoding.EncodeToString
	return Mechanism + "$" + strconv.Itoa(iterations) + ":" + encode(salt) + "$" +
		encode(credentials.StoredKey) + ":" + encode(credentials.ServerKey), nil
}
