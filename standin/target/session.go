package target

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"tarragonshed.example/unit"
)

const positionParameter = "tarragon_position"

// flushSize is the number of bytes of rows after which an answer is sent on.
const flushSize = 32 << 10

// session is a caller's connection.
type session struct {
	target  *Target
	backend *pgproto3.Backend
	life    context.Context
	types   *pgtype.Map
	pid     uint32
	secret  []byte
	control bool

	// mu is held from a batch's first message until ReadyForQuery, and while a
	// notification is sent.
	mu       sync.Mutex
	settings map[string]string
	initial  map[string]string // The settings at the start.
	prepared map[string]*prepared
	portals  map[string]*portal
	tx       transaction
	// skipping tells that messages are skipped until Sync.
	skipping bool
	listens  bool
	notifies bool
	// owed tells that a notification waits for the transaction's end.
	owed bool
	// idle tells that no batch is under way.
	idle bool
	// batches counts the batches that are complete.
	batches uint64
	// idleTimer ends the session when it has been idle in a transaction too long.
	idleTimer *time.Timer
	// hangUp closes the connection.
	hangUp func()

	cancelMu sync.Mutex
	cancel   context.CancelFunc
}

// loop handles messages until the connection ends.
func (s *session) loop() {
	held := false
	defer func() {
		if held {
			s.mu.Unlock()
		}
	}()
	for {
		msg, err := s.backend.Receive()
		if err != nil {
			return
		}
		if !held {
			s.mu.Lock()
			held = true
			s.idle = false
		}
		ready, err := s.handle(msg)
		if err != nil {
			return
		}
		if ready {
			if s.ready() != nil {
				return
			}
			s.limitIdle()
			s.idle = true
			s.mu.Unlock()
			held = false
		}
	}
}

var errTerminated = errors.New("target: terminated by the caller")

// handle reports whether the batch is complete.
func (s *session) handle(msg pgproto3.FrontendMessage) (bool, error) {
	if _, sync := msg.(*pgproto3.Sync); s.skipping && !sync {
		if _, end := msg.(*pgproto3.Terminate); !end {
			return false, nil
		}
	}
	switch msg := msg.(type) {
	case *pgproto3.Query:
		s.query(msg.String)
		return true, nil
	case *pgproto3.Sync:
		s.skipping = false
		s.portals = map[string]*portal{}
		if err := s.endBatch(); err != nil {
			s.fail(err)
		}
		return true, nil
	case *pgproto3.Flush:
		return false, s.backend.Flush()
	case *pgproto3.Terminate:
		return false, errTerminated
	default:
		if err := s.extended(msg); err != nil {
			s.skipping = true
			s.fail(err)
		}
		return false, nil
	}
}

// ready ends a batch: the position of what it committed, then ReadyForQuery.
func (s *session) ready() error {
	if !s.tx.committed.IsZero() {
		s.sendPosition(s.tx.committed.Term, s.tx.committed)
		s.tx.committed = unit.Position{}
	}
	if s.owed && !s.tx.explicit {
		s.notify()
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.tx.status()})
	return s.backend.Flush()
}

// limitIdle ends the session if it stays idle in a transaction for
// idle_in_transaction_session_timeout: its caller may be gone without a trace. The
// lock is held.
func (s *session) limitIdle() {
	s.batches++
	if s.idleTimer != nil {
		s.idleTimer.Stop()
	}
	limit, err := strconv.Atoi(strings.TrimSuffix(s.settings[idleTimeoutSetting], "ms"))
	if err != nil || limit <= 0 || !s.tx.explicit {
		return
	}
	batch := s.batches
	s.idleTimer = time.AfterFunc(time.Duration(limit)*time.Millisecond, func() {
		s.target.gate.pass(s.life)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.batches == batch && s.idle {
			s.releaseTransaction()
			s.hangUp()
		}
	})
}

// query carries out a simple Query.
func (s *session) query(sql string) {
	list := split(sql)
	if len(list) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for i := range list {
		out := &answer{session: s, describes: true}
		tag, err := s.run(&list[i], nil, out)
		if err == nil && i == len(list)-1 {
			err = s.endBatch()
		}
		if err != nil {
			out.ensurePosition()
			s.fail(err)
			return
		}
		s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	}
}

// fail sends an error and marks the transaction as failed.
func (s *session) fail(err error) {
	s.backend.Send(translate(err).response())
	s.failTransaction()
}

func (s *session) sendPosition(current unit.Term, p unit.Position) {
	s.backend.Send(&pgproto3.ParameterStatus{Name: positionParameter, Value: fmt.Sprintf("%d:%d:%d", current, p.Term, p.Index)})
}

func (s *session) sendParameters() {
	for name, shown := range reported {
		s.backend.Send(&pgproto3.ParameterStatus{Name: shown, Value: s.settings[name]})
	}
}

// statementContext returns the context of one statement, which CancelRequest ends.
func (s *session) statementContext() (context.Context, func()) {
	ctx, cancel := context.WithCancel(s.life)
	s.cancelMu.Lock()
	s.cancel = cancel
	s.cancelMu.Unlock()
	return ctx, func() {
		s.cancelMu.Lock()
		s.cancel = nil
		s.cancelMu.Unlock()
		cancel()
	}
}

func (s *session) cancelCurrent() {
	s.cancelMu.Lock()
	defer s.cancelMu.Unlock()
	if s.cancel != nil {
		s.cancel()
	}
}

// end rolls back what is open when the connection ends.
func (s *session) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listens = false
	if s.idleTimer != nil {
		s.idleTimer.Stop()
	}
	s.releaseTransaction()
}

// listen starts to send notifications. The caller holds the lock.
func (s *session) listen() {
	s.listens = true
	if s.notifies {
		return
	}
	s.notifies = true
	changed := s.target.ledger.watch()
	s.target.wait.Go(func() {
		for {
			select {
			case <-changed:
			case <-s.life.Done():
				return
			}
			changed = s.target.ledger.watch()
			if s.notifyIdle() != nil {
				return
			}
		}
	})
}

// notifyIdle sends the latest report unless a transaction is open.
func (s *session) notifyIdle() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.listens {
		return nil
	}
	if s.tx.explicit {
		s.owed = true
		return nil
	}
	s.notify()
	return s.backend.Flush()
}

func (s *session) notify() {
	s.owed = false
	report, err := text(s.target.ledger.report())
	if err != nil || !s.listens {
		return
	}
	s.backend.Send(&pgproto3.NotificationResponse{PID: s.pid, Channel: statusChannel, Payload: report})
}
