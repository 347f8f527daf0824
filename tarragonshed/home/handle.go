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
	errUnexpected = errors.New("home: the instance sent an answer that was not asked for")
	errCopy       = errors.New("home: COPY is not carried")
)

// seen is the position that the instance reports with an answer.
type seen struct {
	term     unit.Term // The instance's current term.
	position unit.Position
}

// parseSeen parses "current-term:last-term:index".
func parseSeen(s string) (seen, bool) {
	current, rest, ok := strings.Cut(s, ":")
	if !ok {
		return seen{}, false
	}
	last, index, ok := strings.Cut(rest, ":")
	if !ok {
		return seen{}, false
	}
	c, err1 := strconv.ParseUint(current, 10, 64)
	l, err2 := strconv.ParseUint(last, 10, 64)
	i, err3 := strconv.ParseUint(index, 10, 64)
	if err1 != nil || err2 != nil || err3 != nil {
		return seen{}, false
	}
	return seen{term: unit.Term(c), position: unit.Position{Term: unit.Term(l), Index: unit.Index(i)}}, true
}

// verdict is what becomes of one message.
type verdict struct {
	forward bool
	// idle tells that no answer is owed after it.
	idle bool
	// done is set by the ReadyForQuery of an injected query.
	done  bool
	own   injection
	owner *relay
}

// handle takes one message of the instance in. It runs on the reading goroutine.
func (c *conn) handle(message pgproto3.BackendMessage) error {
	c.mu.Lock()
	c.heard = time.Now()
	v, err := c.judge(message)
	c.handling = v.forward && v.owner != nil
	c.mu.Unlock()
	if err != nil {
		return err
	}
	if v.done {
		select {
		case c.injected <- v.own:
		default:
		}
		return nil
	}
	if !v.forward || v.owner == nil {
		return nil
	}
	err = v.owner.take(message, v.idle)
	c.mu.Lock()
	c.handling = false
	c.heard = time.Now()
	c.mu.Unlock()
	return err
}

// judge matches a message with the answer that is owed. The lock is held.
func (c *conn) judge(message pgproto3.BackendMessage) (verdict, error) {
	head, owes := c.answers.head()
	v := verdict{forward: owes && !head.swallow, owner: c.owner}
	if owes && head.swallow && head.kind == 'Q' {
		c.own.take(message)
	}
	switch message := message.(type) {
	case *pgproto3.ParameterStatus, *pgproto3.NoticeResponse:
		return v, nil
	case *pgproto3.NotificationResponse:
		return verdict{}, nil
	case *pgproto3.ErrorResponse:
		v.forward = c.judgeError(message) && v.owner != nil
	case *pgproto3.ReadyForQuery:
		return c.judgeReady(v, head, owes)
	case *pgproto3.CopyInResponse, *pgproto3.CopyOutResponse, *pgproto3.CopyBothResponse:
		return verdict{}, errCopy
	case *pgproto3.CommandComplete:
		c.judgeTag(message)
		if !owes || (head.kind != 'E' && head.kind != 'Q') {
			return verdict{}, errUnexpected
		}
		if head.kind == 'E' {
			c.answers.pop()
		}
	default:
		if !owes || !belongs(head.kind, message) {
			return verdict{}, errUnexpected
		}
		if ends(head.kind, message) {
			c.answers.pop()
		}
	}
	v.idle = c.answers.empty()
	return v, nil
}

// judgeError reports whether the error is for the caller.
func (c *conn) judgeError(message *pgproto3.ErrorResponse) bool {
	head, owes := c.answers.head()
	if !owes {
		return false // The connection is about to be closed.
	}
	if head.kind == 'Q' && head.swallow {
		return false
	}
	for _, o := range c.answers.fail() {
		if (o.kind == 'P' || o.kind == 'C') && (o.name != "" || o.kind == 'P') {
			c.prepared.doubt(o.name)
		}
	}
	next, owes := c.answers.head()
	return !owes || !next.swallow
}

func (c *conn) judgeReady(v verdict, head owed, owes bool) (verdict, error) {
	if !owes || (head.kind != 'S' && head.kind != 'Q' && head.kind != 'F') {
		return verdict{}, errUnexpected
	}
	c.answers.pop()
	v.done = head.swallow && head.kind == 'Q'
	v.own = c.own
	v.idle = c.answers.empty()
	return v, nil
}

// take takes one message of the answer to an injected query in.
func (i *injection) take(message pgproto3.BackendMessage) {
	switch message := message.(type) {
	case *pgproto3.ParameterStatus:
		if s, ok := parseSeen(message.Value); ok && message.Name == positionParameter {
			i.seen, i.fresh = s, true
		}
		return
	case *pgproto3.ReadyForQuery:
		i.wrote = i.fresh
	case *pgproto3.ErrorResponse:
		i.failure = &queryError{code: message.Code, message: message.Message}
	case *pgproto3.DataRow:
		i.row = i.row[:0]
		for _, value := range message.Values {
			i.row = append(i.row, string(value))
		}
	}
	i.fresh = false
}

// judgeTag notes statements that leave something behind on the connection.
func (c *conn) judgeTag(message *pgproto3.CommandComplete) {
	head, owes := c.answers.head()
	if owes && head.swallow {
		return
	}
	switch tag := string(message.CommandTag); tag {
	case "SET", "RESET", "DISCARD", "DISCARD ALL", "LISTEN", "UNLISTEN", "PREPARE", "DEALLOCATE", "DEALLOCATE ALL",
		"DECLARE CURSOR", "LOAD", "CREATE TABLE", "CREATE VIEW", "CREATE SEQUENCE", "SELECT INTO":
		c.dirty = true
	}
}

// belongs reports whether the message can be part of the answer to a message of
// the kind.
func belongs(kind byte, message pgproto3.BackendMessage) bool {
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

// ends reports whether the message is the last one of the answer.
func ends(kind byte, message pgproto3.BackendMessage) bool {
	switch message.(type) {
	case *pgproto3.ParameterDescription, *pgproto3.DataRow:
		return false
	}
	return kind != 'Q' && kind != 'F'
}
