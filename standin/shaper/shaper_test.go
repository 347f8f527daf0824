package shaper_test

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"tarragonshed.example/standin/shaper"
)

// echo runs an echo server until the test ends and returns its address.
func echo(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				io.Copy(c, c)
			}()
		}
	}()
	return ln.Addr().String()
}

func setUp(t *testing.T, latency time.Duration) (*shaper.Network, func() net.Conn) {
	t.Helper()
	network := shaper.New(shaper.WithLatency(func(from, to shaper.Node) time.Duration { return latency }))
	address := echo(t)
	network.Add(shaper.Node{Name: "a", Domain: "one", Kind: shaper.VM})
	network.Add(shaper.Node{Name: "b", Domain: "two", Kind: shaper.Target})
	network.Bind(address, "b")
	return network, func() net.Conn {
		c, err := network.Dialer("a")(context.Background(), "tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
}

func exchange(is *is.I, c net.Conn, text string) {
	is.Helper()
	_, err := c.Write([]byte(text))
	is.NoErr(err)
	receive(is, c, text)
}

func receive(is *is.I, c net.Conn, text string) {
	is.Helper()
	got := make([]byte, len(text))
	_, err := io.ReadFull(c, got)
	is.NoErr(err)
	is.Equal(string(got), text)
}

func expectTimeout(is *is.I, c net.Conn) {
	is.Helper()
	is.NoErr(c.SetReadDeadline(time.Now().Add(20 * time.Millisecond)))
	_, err := c.Read(make([]byte, 1))
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
	is.NoErr(c.SetReadDeadline(time.Time{}))
}

func TestNetwork(t *testing.T) {
	t.Run("a round trip takes at least both latencies", func(t *testing.T) {
		is := is.New(t)
		_, dial := setUp(t, 5*time.Millisecond)
		c := dial()
		started := time.Now()
		exchange(is, c, "ping")
		is.True(time.Since(started) >= 10*time.Millisecond)
	})
	t.Run("bytes sent during a cut arrive after it", func(t *testing.T) {
		is := is.New(t)
		network, dial := setUp(t, 0)
		c := dial()
		network.Cut(shaper.Domain("one"), shaper.Domain("two"), shaper.BothWays)
		_, err := c.Write([]byte("late"))
		is.NoErr(err)
		expectTimeout(is, c)
		network.Heal()
		receive(is, c, "late")
	})
	t.Run("a one-way cut holds back the answer only", func(t *testing.T) {
		is := is.New(t)
		network, dial := setUp(t, 0)
		c := dial()
		network.Cut(shaper.Named("b"), shaper.Named("a"), shaper.Forward)
		_, err := c.Write([]byte("answer"))
		is.NoErr(err)
		expectTimeout(is, c)
		network.Heal()
		receive(is, c, "answer")
	})
	t.Run("the nodes of a domain that is cut off from all nodes still reach each other", func(t *testing.T) {
		is := is.New(t)
		network, dial := setUp(t, 0)
		network.Cut(shaper.Any, shaper.Any, shaper.BothWays)
		exchange(is, dial(), "inside")
		network.Cut(shaper.Domain("one"), shaper.Any, shaper.BothWays)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		_, err := network.Dialer("a")(ctx, "tcp", "b")
		is.True(errors.Is(err, context.DeadlineExceeded))
	})
	t.Run("silenced connections transfer no data while new ones work", func(t *testing.T) {
		is := is.New(t)
		network, dial := setUp(t, 0)
		c := dial()
		network.Silence(shaper.Named("a"), shaper.Any)
		_, err := c.Write([]byte("lost"))
		is.NoErr(err)
		expectTimeout(is, c)
		exchange(is, dial(), "works")
	})
	t.Run("the open connections of a node are reset", func(t *testing.T) {
		is := is.New(t)
		network, dial := setUp(t, 0)
		c := dial()
		exchange(is, c, "alive")
		network.ResetConnections("b")
		_, err := c.Read(make([]byte, 1))
		is.True(err != nil)
	})
	t.Run("a paused node neither sends nor receives", func(t *testing.T) {
		is := is.New(t)
		network, dial := setUp(t, 0)
		c := dial()
		network.Pause("b")
		_, err := c.Write([]byte("later"))
		is.NoErr(err)
		expectTimeout(is, c)
		network.Resume("b")
		receive(is, c, "later")
	})
}
