package entry

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/entry/classifier"
)

const (
	sqlStateFailedTransaction = "25P02"
	sqlStateNoStatement       = "26000"
	sqlStateNoTransaction     = "25P01"
	textOID                   = 25
)

// answerLocally responds to a batch that needs no instance.
func (s *session) answerLocally(b *batch) {
	s.answerSteps(b)
	confirmed := 0
	for _, st := range b.steps[:b.answered] {
		if st.kind == 'P' {
			confirmed++
		}
	}
	b.resolveDefinitions(confirmed)
	s.queueReady(s.status)
}

// answerSteps responds to the steps that have not been answered, up to the
// first failure.
func (s *session) answerSteps(b *batch) {
	for _, st := range b.steps[b.answered:] {
		if b.reported {
			return
		}
		if failure := s.answerStep(st); failure != nil {
			b.reported = true
			s.queue(failure)
			return
		}
		b.answered++
	}
}

func (s *session) answerStep(st step) *pgproto3.ErrorResponse {
	switch st.kind {
	case 'Q':
		if len(st.simpleQuery.Statements) == 0 {
			s.queue(&pgproto3.EmptyQueryResponse{})
		}
		return s.answerQuery(st.simpleQuery, true)
	case 'P':
		if failure := s.checkFailed(st.statement.query); failure != nil {
			return failure
		}
		s.queue(&pgproto3.ParseComplete{})
	case 'B':
		if st.statement == nil {
			return errNoStatement()
		}
		s.queue(&pgproto3.BindComplete{})
	case 'D':
		if st.statement == nil {
			return errNoStatement()
		}
		if !st.portal {
			s.queue(&pgproto3.ParameterDescription{})
		}
		s.describe(st.statement.query)
	case 'C':
		s.queue(&pgproto3.CloseComplete{})
	case 'E':
		if st.statement == nil {
			return errNoStatement()
		}
		if len(st.statement.query.Statements) == 0 {
			s.queue(&pgproto3.EmptyQueryResponse{})
		}
		return s.answerQuery(st.statement.query, false)
	}
	return nil
}

func errNoStatement() *pgproto3.ErrorResponse {
	return sqlError(sqlStateNoStatement, "prepared statement or portal does not exist")
}

// transactionLost reports whether the session is in a transaction that no
// instance holds any longer.
func (s *session) transactionLost() bool {
	return s.status != statusIdle && s.pinned == nil
}

// checkFailed rejects statements that a failed transaction does not accept.
func (s *session) checkFailed(q classifier.Query) *pgproto3.ErrorResponse {
	if !s.transactionLost() {
		return nil
	}
	for _, st := range q.Statements {
		if st.Kind != classifier.Commit && st.Kind != classifier.Rollback {
			return sqlError(sqlStateFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block")
		}
	}
	return nil
}

func (s *session) answerQuery(q classifier.Query, described bool) *pgproto3.ErrorResponse {
	if failure := s.checkFailed(q); failure != nil {
		return failure
	}
	for _, st := range q.Statements {
		if failure := s.answerStatement(st, described); failure != nil {
			return failure
		}
	}
	return nil
}

func (s *session) answerStatement(st classifier.Statement, described bool) *pgproto3.ErrorResponse {
	tag := "SET"
	var err error
	switch st.Kind {
	case classifier.Commit, classifier.Rollback:
		s.answerEnd(st)
		return nil
	case classifier.Set:
		if !st.Local {
			err = s.set(settingOf(st))
			s.queueParameterStatus(settingOf(st))
		}
	case classifier.Reset:
		tag = "RESET"
		if st.Name == "" {
			s.resetSettings()
		} else {
			err = s.set(settingOf(st))
		}
	case classifier.Show:
		tag = "SHOW"
		err = s.answerShow(st.Name, described)
	case classifier.Discard:
		tag = "DISCARD ALL"
		s.resetSettings()
		clear(s.statements)
	case classifier.Deallocate:
		tag = "DEALLOCATE"
		if st.Name == "" {
			tag = "DEALLOCATE ALL"
			clear(s.statements)
		} else if s.statements[st.Name] == nil {
			return errNoStatement()
		}
		delete(s.statements, st.Name)
	}
	if err != nil {
		s.entry.meters.recordRefusal(result.CodeOf(err))
		return errorResponse(err, severityError)
	}
	s.queue(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return nil
}

// answerEnd responds to COMMIT or ROLLBACK without a transaction or in a
// transaction that was lost.
func (s *session) answerEnd(st classifier.Statement) {
	tag := "COMMIT"
	if st.Kind == classifier.Rollback || s.transactionLost() {
		tag = "ROLLBACK"
	}
	if s.status == statusIdle {
		s.queue(&pgproto3.NoticeResponse{
			Severity:            "WARNING",
			SeverityUnlocalized: "WARNING",
			Code:                sqlStateNoTransaction,
			Message:             "there is no transaction in progress",
		})
	}
	s.status = statusIdle
	s.queue(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

func (s *session) answerShow(name string, described bool) error {
	value, err := s.show(name)
	if err != nil {
		return err
	}
	if described {
		s.queue(showDescription(name))
	}
	s.queue(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	return nil
}

func (s *session) describe(q classifier.Query) {
	if len(q.Statements) == 1 && q.Statements[0].Kind == classifier.Show {
		s.queue(showDescription(q.Statements[0].Name))
		return
	}
	s.queue(&pgproto3.NoData{})
}

func showDescription(name string) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name:         []byte(name),
		DataTypeOID:  textOID,
		DataTypeSize: -1,
		TypeModifier: -1,
	}}}
}
