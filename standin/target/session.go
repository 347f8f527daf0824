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

// flushSize is the number of bytes of buffered rows after which a result is flushed.
const flushSize = 32 << 10

// session is the state of a caller's connection.
type session struct {
	target  *Target
	backend *pgproto3.Backend
	ctx     context.Context
	types   *pgtype.Map
	pid     uint32
	secret  []byte
	control bool

	// mu is held from the first message of a batch until ReadyForQuery, and while a
	// notification is sent. A batch is a simple query, or the messages of the extended
	// protocol up to Sync.
	mu       sync.Mutex
	settings map[string]string
	initial  map[string]string // The settings at startup.
	prepared map[string]*prepared
	portals  map[string]*portal
	tx       transaction
	// skipUntilSync is set after an error: messages are discarded until Sync.
	skipUntilSync   bool
	listening       bool
	notifierRunning bool
	// notificationPending is set if a notification is deferred until the transaction
	// ends.
	notificationPending bool
	// idle is set while no batch is in progress.
	idle bool
	// batches counts the completed batches.
	batches uint64
	// idleTimer closes the session when its transaction has been idle for too long.
	idleTimer *time.Timer
	// disconnect closes the connection.
	disconnect func()

	cancelMu sync.Mutex
	cancel   context.CancelFunc
}

// loop handles messages until the connection is closed.
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
			s.startIdleTimer()
			s.idle = true
			s.mu.Unlock()
			held = false
		}
	}
}

var errTerminated = errors.New("target: connection terminated by the caller")

// handle processes a message and reports whether it completes the batch.
func (s *session) handle(msg pgproto3.FrontendMessage) (bool, error) {
	if _, sync := msg.(*pgproto3.Sync); s.skipUntilSync && !sync {
		if _, end := msg.(*pgproto3.Terminate); !end {
			return false, nil
		}
	}
	switch msg := msg.(type) {
	case *pgproto3.Query:
		s.query(msg.String)
		return true, nil
	case *pgproto3.Sync:
		s.skipUntilSync = false
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
			s.skipUntilSync = true
			s.fail(err)
		}
		return false, nil
	}
}

// ready completes a batch: it sends the position of what the batch committed, a
// deferred notification and ReadyForQuery.
func (s *session) ready() error {
	if !s.tx.committed.IsZero() {
		s.sendPosition(s.tx.committed.Term, s.tx.committed)
		s.tx.committed = unit.Position{}
	}
	if s.notificationPending && !s.tx.explicit {
		s.notify()
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.tx.status()})
	return s.backend.Flush()
}

// startIdleTimer closes the session if it stays idle in a transaction for
// idle_in_transaction_session_timeout. A caller can disappear without closing the
// connection, and its open transaction would then hold the write lock forever. The
// caller of startIdleTimer holds the lock.
func (s *session) startIdleTimer() {
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
		s.target.gate.wait(s.ctx)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.batches == batch && s.idle {
			s.releaseTransaction()
			s.disconnect()
		}
	})
}

// query executes the statements of a simple Query message.
func (s *session) query(sql string) {
	list := split(sql)
	if len(list) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for i := range list {
		out := &resultWriter{session: s, sendsDescription: true}
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

// fail sends an error response and marks the transaction as failed.
func (s *session) fail(err error) {
	s.backend.Send(translate(err).response())
	s.failTransaction()
}

func (s *session) sendPosition(current unit.Term, p unit.Position) {
	s.backend.Send(&pgproto3.ParameterStatus{Name: positionParameter, Value: fmt.Sprintf("%d:%d:%d", current, p.Term, p.Index)})
}

func (s *session) sendParameters() {
	for name, shown := range reportedSettings {
		s.backend.Send(&pgproto3.ParameterStatus{Name: shown, Value: s.settings[name]})
	}
}

// statementContext returns the context of one statement, which CancelRequest cancels,
// and the function that releases it.
func (s *session) statementContext() (context.Context, func()) {
	ctx, cancel := context.WithCancel(s.ctx)
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

// end rolls back the open transaction when the connection is closed.
func (s *session) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listening = false
	if s.idleTimer != nil {
		s.idleTimer.Stop()
	}
	s.releaseTransaction()
}

// listen starts to send a notification on each change of the instance's state. The
// caller holds the lock.
func (s *session) listen() {
	s.listening = true
	if s.notifierRunning {
		return
	}
	s.notifierRunning = true
	changed := s.target.log.watch()
	s.target.wait.Go(func() {
		for {
			select {
			case <-changed:
			case <-s.ctx.Done():
				return
			}
			changed = s.target.log.watch()
			if s.notifyIdle() != nil {
				return
			}
		}
	})
}

// notifyIdle sends the latest report, or defers it if a transaction is open.
func (s *session) notifyIdle() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.listening {
		return nil
	}
	if s.tx.explicit {
		s.notificationPending = true
		return nil
	}
	s.notify()
	return s.backend.Flush()
}

func (s *session) notify() {
	s.notificationPending = false
	report, err := jsonText(s.target.log.report())
	if err != nil || !s.listening {
		return
	}
	s.backend.Send(&pgproto3.NotificationResponse{PID: s.pid, Channel: statusChannel, Payload: report})
}
