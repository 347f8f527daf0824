// Package socket reads the state of the TCP connections of callers and ends them without losing what
// was sent last.
//
// # Ending a connection
//
// A socket that is closed with unread bytes, or that receives bytes after it was closed, resets its
// connection. A reset can overtake data that the other end has not read yet. So a server that ends a
// connection closes the sending side first, together with its last message, and then reads until the
// other end has closed its side as well.
//
// # Usage
//
//	if done && socket.Unread(c) == 0 {
//		err := socket.SendLast(c, message)
//		socket.Linger(c, time.Second)
//		_ = c.Close()
//	}
package socket

import (
	"io"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// maxLingerBytes bounds what [Linger] reads.
const maxLingerBytes = 4 << 20

// Unread returns the number of bytes that have been received and not been read. It is zero for
// connections other than TCP.
func Unread(c net.Conn) int { return buffered(c, unix.TIOCINQ) }

// Unsent returns the number of bytes that have been written and not been acknowledged by the other
// end. It is zero for connections other than TCP.
func Unsent(c net.Conn) int { return buffered(c, unix.TIOCOUTQ) }

func buffered(c net.Conn, request uint) int {
	bytes := 0
	control(c, func(fd int) {
		if n, err := unix.IoctlGetInt(fd, request); err == nil {
			bytes = n
		}
	})
	return bytes
}

// control calls f with the descriptor of a TCP connection that is open.
func control(c net.Conn, f func(fd int)) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { f(int(fd)) }) // A closed connection has no descriptor.
}

// SendLast writes b and closes the sending side. The other end learns of both at the same time, so that
// it sends nothing more once it has read b. Bytes can still be read.
func SendLast(c net.Conn, b []byte) error {
	control(c, func(fd int) { _ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_CORK, 1) }) // Only an improvement.
	_, err := c.Write(b)
	CloseWrite(c)
	return err
}

// halfCloser is a connection whose two sides can be closed one by one.
type halfCloser interface{ CloseWrite() error }

// CloseWrite closes the sending side, if the connection has two that can be closed one by one.
func CloseWrite(c net.Conn) {
	if half, ok := c.(halfCloser); ok {
		_ = half.CloseWrite() // It fails if the connection has ended.
	}
}

// Linger closes the sending side and reads, without keeping anything, until the other end has closed its
// side or the timeout has passed. It does not close the connection. It does nothing if the sides can't
// be closed one by one.
func Linger(c net.Conn, timeout time.Duration) {
	if _, ok := c.(halfCloser); !ok {
		return
	}
	CloseWrite(c)
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(c, maxLingerBytes))
}
