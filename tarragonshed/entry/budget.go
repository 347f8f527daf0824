package entry

import (
	"net"
	"sync/atomic"

	"tarragonshed.example/budgeter"
	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/admitter"
)

const (
	// messageCopies is how often a large message is in memory at the same time: as it is received,
	// in the batch, and as it is sent to the home.
	messageCopies = 3
	// smallBytes is what a session may hold outside the common budget.
	smallBytes = 32 << 10
	// stepBytes and statementBytes are the memory of a step of a batch and of a prepared statement beside
	// their texts.
	stepBytes      = 128
	statementBytes = 256
	// startupDivisor is the inverse of the number of connections in startup, as a share of MaxCallers,
	// beside those that MaxCallers admits.
	startupDivisor = 4
	// batchesInMemory is the number of largest batches for which there is memory: messages may
	// use three quarters of it, and each is there three times.
	batchesInMemory = 4
)

// budgetLimits returns the limits of the budget.
func (l Limits) budgetLimits() budgeter.Limits {
	return budgeter.Limits{
		Bytes: l.Memory, Small: smallBytes,
		Sessions: l.MaxCallers + l.MaxCallers/startupDivisor + 1, PerAccount: l.MaxPerCaller,
	}
}

// connection is a connection of a caller, before and after its session exists.
type connection struct {
	entry   *Entry
	conn    net.Conn
	budget  *admitter.Session
	session atomic.Pointer[session]
}

// open returns the connection, or nil if it is refused. It writes the refusal without waiting.
func (e *Entry) open(conn net.Conn) *connection {
	c := &connection{entry: e, conn: conn}
	budget, refusal := e.admitter.Open(conn, c)
	if refusal != nil {
		e.meters.recordRefusal(refusal.Code)
		buffer, _ := errorResponse(refusal, severityFatal).Encode(nil)
		conn.Write(buffer)
		conn.Close()
		return nil
	}
	c.budget = budget
	return c
}

// Evict implements [admitter.Owner].
func (c *connection) Evict(err *result.Error, _ bool) {
	c.entry.meters.recordClose(err.Code)
	c.entry.logger.Debug("caller connection closed", "remote", c.conn.RemoteAddr(), "err", err)
	c.conn.Close()
	if s := c.session.Load(); s != nil {
		go s.closeConnections() // It waits for a request that is being sent.
	}
}

// hold asks for the memory for the batch and more bytes of its next message. After a refusal the batch has
// a fault, and its messages are not kept.
func (b *batch) hold(more int) error {
	needed := (b.received+more)*messageCopies + len(b.steps)*stepBytes
	if needed <= max(b.held, smallBytes) {
		return nil
	}
	needed = max(needed, min(2*b.held, b.session.entry.limits.MaxBatch*messageCopies))
	refusal := b.session.budget.HoldMessage(needed, b.ahead, b.session.entry.limits.StatementTimeout)
	if refusal == nil {
		b.held = needed
		return nil
	}
	b.held = 0
	b.setFault(refusal)
	if b.flushRun == nil && !b.shared {
		releaseBuffer(b.messages)
		b.messages = nil
	}
	return refusal
}

// holdStatement asks for the memory for a prepared statement of the batch.
func (b *batch) holdStatement(bytes int) error {
	b.stateBytes += bytes + statementBytes
	if refusal := b.session.budget.Hold(budgeter.State, b.session.stateBytes+b.stateBytes); refusal != nil {
		return refusal
	}
	return nil
}

// releaseBatch returns the memory of a batch that has ended, and counts the prepared statements if they
// may have changed.
func (s *session) releaseBatch(b *batch) {
	s.budget.Release(budgeter.Message)
	if !b.redefines {
		return
	}
	s.stateBytes = 0
	for name, st := range s.statements {
		s.stateBytes += len(name) + len(st.wire.Query) + statementBytes
	}
	_ = s.budget.Hold(budgeter.State, s.stateBytes) // No more than before.
}
