package entry

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/entry/authenticator"
	"tarragonshed.example/tarragonshed/entry/framer"
	"tarragonshed.example/unit"
)

// Request codes that a startup packet may have in place of the protocol version,
// and the supported major version.
const (
	cancelRequestCode = 80877102
	sslRequestCode    = 80877103
	gssRequestCode    = 80877104
	protocolMajor     = 3
)

const (
	minStartupSize = 8
	maxStartupSize = 10_000
	// maxNegotiations is the maximum number of encryption requests before the
	// startup message.
	maxNegotiations = 2
	maxPasswordSize = 4096
	secretKeySize   = 4
	serverVersion   = "17.5"
)

// startup performs the startup and authentication of a connection. It returns
// nil for both results after a cancel request.
func (e *Entry) startup(c *connection) (*session, error) {
	c.conn.SetDeadline(time.Now().Add(e.limits.StartupTimeout))
	conn, code, packet, err := e.negotiate(c.conn)
	if err != nil {
		return nil, e.reject(conn, err)
	}
	if code == cancelRequestCode {
		e.cancel(packet)
		return nil, nil
	}
	message, minor, err := parseStartup(code, packet)
	if err != nil {
		return nil, e.reject(conn, err)
	}
	if err := e.admit(conn, message); err != nil {
		return nil, e.reject(conn, err)
	}
	s, err := newSession(e, conn, message)
	if err != nil {
		return nil, e.reject(conn, err)
	}
	if err := s.authenticate(); err != nil {
		return nil, e.reject(conn, err)
	}
	if err := s.resolveGroup(); err != nil {
		return nil, e.reject(conn, err)
	}
	s.budget = c.budget
	if refusal := s.budget.Start(s.caller); refusal != nil {
		return nil, e.reject(conn, refusal)
	}
	e.addSession(s)
	if err := s.completeStartup(message, minor); err != nil {
		e.removeSession(s)
		return nil, err
	}
	conn.SetDeadline(time.Time{})
	return s, nil
}

// negotiate answers encryption requests and returns the code and contents of
// the packet that follows them.
func (e *Entry) negotiate(conn net.Conn) (net.Conn, uint32, []byte, error) {
	for range maxNegotiations + 1 {
		code, packet, err := readStartup(conn)
		if err != nil {
			return conn, 0, nil, err
		}
		_, encrypted := conn.(*tls.Conn)
		switch {
		case code == sslRequestCode && e.tls != nil && !encrypted:
			if conn, err = e.encrypt(conn); err != nil {
				return conn, 0, nil, err
			}
		case code == sslRequestCode || code == gssRequestCode:
			if _, err := conn.Write([]byte{'N'}); err != nil {
				return conn, 0, nil, err
			}
		default:
			return conn, code, packet, nil
		}
	}
	return conn, 0, nil, result.New(result.MalformedStartup, "more than %d encryption requests", maxNegotiations)
}

func (e *Entry) encrypt(conn net.Conn) (net.Conn, error) {
	if _, err := conn.Write([]byte{'S'}); err != nil {
		return conn, err
	}
	encrypted := tls.Server(conn, e.tls)
	ctx, cancel := context.WithTimeout(e.ctx, e.limits.StartupTimeout)
	defer cancel()
	return encrypted, encrypted.HandshakeContext(ctx)
}

// readStartup reads a startup packet, which has no type byte, and returns its
// code and contents.
func readStartup(source io.Reader) (uint32, []byte, error) {
	var header [minStartupSize]byte
	if _, err := io.ReadFull(source, header[:]); err != nil {
		return 0, nil, err
	}
	length := binary.BigEndian.Uint32(header[:4])
	if length < minStartupSize || length > maxStartupSize {
		return 0, nil, result.New(result.MalformedStartup, "the startup packet's length is %d bytes", length)
	}
	packet := make([]byte, length-minStartupSize)
	if _, err := io.ReadFull(source, packet); err != nil {
		return 0, nil, err
	}
	return binary.BigEndian.Uint32(header[4:]), packet, nil
}

// parseStartup returns the parameters of a startup message and the requested
// minor protocol version.
func parseStartup(code uint32, packet []byte) (map[string]string, uint32, error) {
	if code>>16 != protocolMajor {
		return nil, 0, result.New(result.MalformedStartup, "protocol version %d.%d is not supported", code>>16, code&0xffff)
	}
	parameters := make(map[string]string)
	for {
		name, rest, ok := framer.CutString(packet)
		if !ok {
			return nil, 0, result.New(result.MalformedStartup, "the parameters of the startup packet are not terminated")
		}
		if name == "" {
			break
		}
		value, rest, ok := framer.CutString(rest)
		if !ok {
			return nil, 0, result.New(result.MalformedStartup, "startup parameter %q has no value", name)
		}
		parameters[name] = value
		packet = rest
	}
	if parameters["user"] == "" {
		return nil, 0, result.New(result.MalformedStartup, "the startup packet has no user")
	}
	return parameters, code & 0xffff, nil
}

// admit returns an error for connections that are rejected before
// authentication.
func (e *Entry) admit(conn net.Conn, parameters map[string]string) error {
	_, encrypted := conn.(*tls.Conn)
	switch replication := strings.ToLower(parameters["replication"]); {
	case e.draining.Load():
		return result.New(result.ShuttingDown, "the daemon is shutting down")
	case e.tlsRequired && !encrypted:
		return result.New(result.EncryptionRequired, "TLS is required; connect with sslmode=require")
	case int(e.callers.Load()) > e.limits.MaxCallers:
		return result.New(result.TooManyCallers, "the daemon accepts at most %d caller connections", e.limits.MaxCallers)
	case replication != "" && replication != "false" && replication != "off" && replication != "0" && replication != "no":
		return result.New(result.CopyNotCarried, "the replication protocol is not supported")
	case e.holder.Current().Manifest == nil:
		return result.New(result.NoManifest, "the daemon has no manifest yet")
	}
	return nil
}

// reject sends a fatal error for errors with a result code. Other errors mean
// that the connection has failed.
func (e *Entry) reject(conn net.Conn, err error) error {
	code := result.CodeOf(err)
	if code == 0 {
		return err
	}
	e.meters.recordRefusal(code)
	buffer, _ := errorResponse(err, severityFatal).Encode(nil)
	conn.Write(buffer)
	e.lingerClose(conn)
	return err
}

// lingerClose reads and discards what the caller has sent. Closing a TCP
// connection with unread data resets it, and the caller could lose the error.
func (e *Entry) lingerClose(conn net.Conn) {
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
	conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.CopyN(io.Discard, conn, maxLingerBytes)
}

const (
	lingerTimeout  = time.Second
	maxLingerBytes = 256 << 10
)

// cancel cancels the running batch of a session if the secret key matches.
func (e *Entry) cancel(packet []byte) {
	if len(packet) < 4+secretKeySize {
		return
	}
	s := e.session(unit.SessionID(binary.BigEndian.Uint32(packet)))
	if s != nil && s.secretEqual(packet[4:]) {
		s.cancelRequest()
	}
}

func (s *session) authenticate() error {
	caller, known := s.entry.holder.Current().Manifest.Caller(s.caller)
	exchange, err := s.entry.authenticator.Begin(string(s.caller), caller.SCRAMSecret)
	if err != nil {
		s.entry.logger.Error("a caller's verifier is malformed", "caller", s.caller, "err", err)
		return result.New(result.AuthenticationFailed, "caller %q could not be authenticated", s.caller)
	}
	if err := s.send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{authenticator.Mechanism}}); err != nil {
		return err
	}
	failed := result.New(result.AuthenticationFailed, "password authentication failed for caller %q", s.caller)
	initial, err := s.readInitialResponse()
	if err != nil {
		return err
	}
	reply, _, err := exchange.Step(initial)
	if err != nil {
		return failed
	}
	if err := s.send(&pgproto3.AuthenticationSASLContinue{Data: []byte(reply)}); err != nil {
		return err
	}
	response, err := s.readPassword()
	if err != nil {
		return err
	}
	reply, done, err := exchange.Step(string(response))
	if err != nil || !done || !known {
		return failed
	}
	return s.send(&pgproto3.AuthenticationSASLFinal{Data: []byte(reply)}, &pgproto3.AuthenticationOk{})
}

func (s *session) readInitialResponse() (string, error) {
	body, err := s.readPassword()
	if err != nil {
		return "", err
	}
	mechanism, rest, ok := framer.CutString(body)
	if !ok || mechanism != authenticator.Mechanism || len(rest) < 4 {
		return "", result.New(result.ProtocolViolation, "only the SASL mechanism %s is supported", authenticator.Mechanism)
	}
	return string(rest[4:]), nil
}

func (s *session) readPassword() ([]byte, error) {
	reader := framer.New(s.conn, maxPasswordSize)
	kind, body, err := reader.Next()
	if err != nil {
		return nil, err
	}
	if kind != 'p' || reader.Buffered() {
		return nil, result.New(result.ProtocolViolation, "message type %q received instead of a password", kind)
	}
	body = append([]byte(nil), body...)
	reader.Release()
	return body, nil
}

// resolveGroup sets the group of the session. It is called after
// authentication, so that an unauthenticated client can't find out which
// databases exist.
func (s *session) resolveGroup() error {
	m := s.entry.holder.Current().Manifest
	caller, _ := m.Caller(s.caller)
	if _, ok := m.Group(s.database); !ok || !caller.MayUse(s.database) {
		return result.New(result.UnknownDatabase, "database %q does not exist or caller %q may not use it", s.database, s.caller)
	}
	s.group = s.entry.group(s.database)
	return nil
}

// completeStartup sends the messages that drivers expect before the first
// statement.
func (s *session) completeStartup(parameters map[string]string, minor uint32) error {
	var messages []pgproto3.BackendMessage
	if unknown := protocolOptions(parameters); minor > 0 || len(unknown) > 0 {
		messages = append(messages, &pgproto3.NegotiateProtocolVersion{UnrecognizedOptions: unknown})
	}
	for _, p := range s.startupParameters(parameters) {
		messages = append(messages, &pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	messages = append(messages,
		&pgproto3.BackendKeyData{ProcessID: uint32(s.id), SecretKey: s.secret[:]},
		&pgproto3.ReadyForQuery{TxStatus: statusIdle})
	return s.send(messages...)
}

// startupParameters returns the parameters that are reported at startup.
func (s *session) startupParameters(parameters map[string]string) [][2]string {
	return [][2]string{
		{"server_version", serverVersion},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
		{"IntervalStyle", "postgres"},
		{"TimeZone", s.timeZone()},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
		{"is_superuser", "off"},
		{"session_authorization", string(s.caller)},
		{"application_name", parameters["application_name"]},
		{"in_hot_standby", "off"},
		{"default_transaction_read_only", "off"},
		{positionParameter, s.tracker.Position().String()},
	}
}

// protocolOptions returns the names of the protocol extensions that the caller
// requests. None is supported.
func protocolOptions(parameters map[string]string) []string {
	var options []string
	for name := range parameters {
		if strings.HasPrefix(name, "_pq_.") {
			options = append(options, name)
		}
	}
	return options
}
