package home

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"tarragonshed.example/unit"
)

var (
	errUnexpected = errors.New("home: the instance sent an unexpected message")
	errCopy       = errors.New("home: COPY is not supported")
)

// observation is the position that the instance reports with an answer.
type observation struct {
	term     unit.Term // The instance's current term.
	position unit.Position
}

// parseObservation parses "current-term:last-term:index".
func parseObservation(s string) (observation, bool) {
	current, rest, ok := strings.Cut(s, ":")
	if !ok {
		return observation{}, false
	}
	last, index, ok := strings.Cut(rest, ":")
	if !ok {
		return observation{}, false
	}
	c, err1 := strconv.ParseUint(current, 10, 64)
	l, err2 := strconv.ParseUint(last, 10, 64)
	i, err3 := strconv.ParseUint(index, 10, 64)
	if err1 != nil || err2 != nil || err3 != nil {
		return observation{}, false
	}
	return observation{term: unit.Term(c), position: unit.Position{Term: unit.Term(l), Index: unit.Index(i)}}, true
}

// disposition describes how to process one message.
type disposition struct {
	forward bool
	// idle reports whether no response is pending after the message.
	idle bool
	// done reports whether the message is the ReadyForQuery of an injected query.
	done   bool
	result injectedResult
	owner  *relay
}

// handle processes one message of the instance. It runs on the reading goroutine.
func (c *conn) handle(message pgproto3.BackendMessage) error {
	c.mu.Lock()
	c.receivedAt = time.Now()
	d, err := c.match(message)
	c.forwarding = d.forward && d.owner != nil
	c.mu.Unlock()
	if err != nil {
		return err
	}
	if d.done {
		select {
		case c.injected <- d.result:
		default:
		}
		return nil
	}
	if !d.forward || d.owner == nil {
		return nil
	}
	err = d.owner.handle(message, d.idle)
	c.mu.Lock()
	c.forwarding = false
	c.receivedAt = time.Now()
	c.mu.Unlock()
	return err
}

// match matches a message with the pending response. The caller holds the lock.
func (c *conn) match(message pgproto3.BackendMessage) (disposition, error) {
	head, pending := c.responses.head()
	d := disposition{forward: pending && !head.discard, owner: c.owner}
	if pending && head.discard && head.kind == 'Q' {
		c.injecting.handle(message)
	}
	switch message := message.(type) {
	case *pgproto3.ParameterStatus, *pgproto3.NoticeResponse:
		return d, nil
	case *pgproto3.NotificationResponse:
		return disposition{}, nil
	case *pgproto3.ErrorResponse:
		d.forward = c.matchError(message) && d.owner != nil
	case *pgproto3.ReadyForQuery:
		return c.matchReady(d, head, pending)
	case *pgproto3.CopyInResponse, *pgproto3.CopyOutResponse, *pgproto3.CopyBothResponse:
		return disposition{}, errCopy
	case *pgproto3.CommandComplete:
		c.trackState(message)
		if !pending || (head.kind != 'E' && head.kind != 'Q') {
			return disposition{}, errUnexpected
		}
		if head.kind == 'E' {
			c.responses.pop()
		}
	default:
		if !pending || !belongsTo(head.kind, message) {
			return disposition{}, errUnexpected
		}
		if endsResponse(head.kind, message) {
			c.responses.pop()
		}
	}
	d.idle = c.responses.empty()
	return d, nil
}

// matchError drops the responses that the error makes the instance skip, and reports
// whether the error is for the caller.
func (c *conn) matchError(message *pgproto3.ErrorResponse) bool {
	head, pending := c.responses.head()
	if !pending {
		return false // The instance is about to close the connection.
	}
	if head.kind == 'Q' && head.discard {
		return false
	}
	for _, r := range c.responses.fail() {
		if (r.kind == 'P' || r.kind == 'C') && (r.name != "" || r.kind == 'P') {
			c.prepared.markUncertain(r.name)
		}
	}
	next, pending := c.responses.head()
	return !pending || !next.discard
}

func (c *conn) matchReady(d disposition, head pendingResponse, pending bool) (disposition, error) {
	if !pending || (head.kind != 'S' && head.kind != 'Q' && head.kind != 'F') {
		return disposition{}, errUnexpected
	}
	c.responses.pop()
	d.done = head.discard && head.kind == 'Q'
	d.result = c.injecting
	d.idle = c.responses.empty()
	return d, nil
}

// handle processes one message of the response to an injected query.
func (i *injectedResult) handle(message pgproto3.BackendMessage) {
	switch message := message.(type) {
	case *pgproto3.ParameterStatus:
		if o, ok := parseObservation(message.Value); ok && message.Name == positionParameter {
			i.observed, i.afterPosition = o, true
		}
		return
	case *pgproto3.ReadyForQuery:
		i.wrote = i.afterPosition
	case *pgproto3.ErrorResponse:
		i.failure = &queryError{code: message.Code, message: message.Message}
	case *pgproto3.DataRow:
		i.row = i.row[:0]
		for _, value := range message.Values {
			i.row = append(i.row, string(value))
		}
	}
	i.afterPosition = false
}

// trackState marks the connection as dirty after a statement that changes its session
// state.
func (c *conn) trackState(message *pgproto3.CommandComplete) {
	head, pending := c.responses.head()
	if pending && head.discard {
		return
	}
	switch tag := string(message.CommandTag); tag {
	case "SET", "RESET", "DISCARD", "DISCARD ALL", "LISTEN", "UNLISTEN", "PREPARE", "DEALLOCATE", "DEALLOCATE ALL",
		"DECLARE CURSOR", "LOAD", "CREATE TABLE", "CREATE VIEW", "CREATE SEQUENCE", "SELECT INTO":
		c.dirty = true
	}
}

// belongsTo reports whether the message can be part of the response to a message of
// the kind.
func belongsTo(kind byte, message pgproto3.BackendMessage) bool {
	switch message.(type) {
	case *pgproto3.ParseComplete:
		return kind == 'P'
	case *pgproto3.BindComplete:
		return kind == 'B'
	case *pgproto3.CloseComplete:
		return kind == 'C'
	case *pgproto3.ParameterDescription, *pgproto3.NoData:
		return kind == 'D'
	case *pgproto3.RowDescription:
		return kind == 'D' || kind == 'Q'
	case *pgproto3.DataRow:
		return kind == 'E' || kind == 'Q'
	case *pgproto3.EmptyQueryResponse:
		return kind == 'E' || kind == 'Q'
	case *pgproto3.PortalSuspended:
		return kind == 'E'
	case *pgproto3.FunctionCallResponse:
		return kind == 'F'
	}
	return false
}

// endsResponse reports whether the message is the last one of the response.
func endsResponse(kind byte, message pgproto3.BackendMessage) bool {
	switch message.(type) {
	case *pgproto3.ParameterDescription, *pgproto3.DataRow:
		return false
	}
	return kind != 'Q' && kind != 'F'
}
