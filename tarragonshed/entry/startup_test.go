package entry

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	"tarragonshed.example/result"
)

func TestRefusedStartups(t *testing.T) {
	b := newFixture(t)
	for name, c := range map[string]struct {
		url  string
		code result.Code
	}{
		"wrong password":  {"postgres://demo:wrong@" + b.addr + "/ledger?sslmode=disable", result.AuthenticationFailed},
		"unknown caller":  {"postgres://nobody:secret@" + b.addr + "/ledger?sslmode=disable", result.AuthenticationFailed},
		"unknown group":   {"postgres://demo:secret@" + b.addr + "/none?sslmode=disable", result.UnknownDatabase},
		"forbidden group": {"postgres://demo:secret@" + b.addr + "/other?sslmode=disable", result.UnknownDatabase},
		"bad option":      {b.url("&tarragon.position=x"), result.MalformedOption},
		"replication":     {b.url("&replication=database"), result.CopyNotCarried},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := pgx.Connect(b.context(), c.url)
			mustCode(t, err, c.code)
		})
	}
}

func TestMalformedStartup(t *testing.T) {
	b := newFixture(t, WithLimits(Limits{StartupTimeout: 200 * time.Millisecond}))
	for name, packet := range map[string][]byte{
		"http":          []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
		"zero":          make([]byte, 64),
		"huge length":   {0x7f, 0xff, 0xff, 0xff, 0, 3, 0, 0},
		"half-open":     {0, 0},
		"nothing":       {},
		"old version":   startupPacket(2<<16, "\x00"),
		"no user":       startupPacket(3<<16, "\x00"),
		"no end":        startupPacket(3<<16, "user\x00x"),
		"gss, ssl, bad": append(append(startupPacket(gssRequestCode, ""), startupPacket(sslRequestCode, "")...), 1, 2, 3, 4, 5, 6, 7, 8),
		"cancel":        startupPacket(cancelRequestCode, "\x00\x00\x00\x01\x00\x00\x00\x00"),
		"no password":   append(startupPacket(3<<16, "user\x00demo\x00\x00"), 'p', 0, 0, 0, 4),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", b.addr)
			is.NoErr(err)
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(testTimeout))
			_, err = conn.Write(packet)
			is.NoErr(err)
			_, err = io.Copy(io.Discard, conn)
			is.NoErr(err) // The daemon closed the connection.
		})
	}
	b.connect("")
}

func TestShutdown(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	idle, open := b.connect(""), b.connect("")
	_, err := open.Exec(b.context(), "BEGIN")
	is.NoErr(err)
	done := make(chan error)
	go func() { done <- b.entry.Shutdown(context.Background()) }()
	mustEventually(t, func() bool { return b.entry.Callers() == 1 })
	_, err = idle.Exec(b.context(), "INSERT x")
	is.True(err != nil)
	_, err = open.Exec(b.context(), "INSERT x")
	is.NoErr(err)
	_, err = open.Exec(b.context(), "COMMIT")
	is.NoErr(err)
	is.NoErr(<-done)
	_, err = pgx.Connect(b.context(), b.url(""))
	is.True(err != nil)
}

func FuzzStartup(f *testing.F) {
	f.Add(startupPacket(3<<16, "user\x00demo\x00options\x00-c a=b\x00\x00"))
	f.Add(startupPacket(sslRequestCode, ""))
	f.Fuzz(func(t *testing.T, data []byte) {
		code, packet, err := readStartup(bytes.NewReader(data))
		if err != nil {
			return
		}
		parameters, _, err := parseStartup(code, packet)
		if err != nil {
			return
		}
		if parameters["user"] == "" {
			t.Fatal("a startup message without a user was accepted")
		}
		(&session{}).applyStartup(parameters)
	})
}
