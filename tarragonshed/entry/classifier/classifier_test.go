package classifier

import (
	"testing"

	"github.com/matryer/is"
)

func TestKind(t *testing.T) {
	for query, kind := range map[string]Kind{
		"SELECT 1": Read,
		"/* x */ select 'a;b' from t -- for update":     Read,
		"select * from t for update":                    Write,
		"select * from t for share":                     Write,
		"select * from t for no key update":             Write,
		"select substring(a for 3) from t":              Read,
		`select "update" from t`:                        Read,
		"select $a$ insert; $a$":                        Read,
		`select E'\'; insert'`:                          Read,
		"with x as (insert into t values (1)) table x":  Write,
		"with x as (select 1) select * from x":          Read,
		"select 1 into t":                               Write,
		"select pg_advisory_lock(1)":                    NotCarried,
		"insert into t values (1)":                      Write,
		"frobnicate":                                    Write,
		"BEGIN":                                         Begin,
		"begin read only":                               BeginRead,
		"begin isolation level read committed":          Begin,
		"START TRANSACTION READ ONLY":                   BeginRead,
		"begin isolation level serializable, read only": Begin,
		"commit":                                 Commit,
		"end":                                    Commit,
		"rollback":                               Rollback,
		"rollback to savepoint a":                Read,
		"savepoint a":                            Write,
		"set a = 1":                              Set,
		"set transaction read only":              Read,
		"set role x":                             NotCarried,
		"show a":                                 Show,
		"listen x":                               NotCarried,
		"create temp table x (a int)":            NotCarried,
		"create local temporary table x (a int)": NotCarried,
		"create table x (a int)":                 Write,
		"copy t from stdin":                      Copy,
		"prepare x as select 1":                  NotCarried,
		"discard all":                            Discard,
		"explain select 1":                       Read,
		"explain analyze insert into t values (1)": Write,
		"select nextval('s')":                      Write,
	} {
		t.Run(query, func(t *testing.T) {
			is := is.New(t)
			parsed := Parse(query)
			is.Equal(len(parsed.Statements), 1)
			is.Equal(parsed.Statements[0].Kind, kind)
		})
	}
}

func TestSetting(t *testing.T) {
	for query, want := range map[string]Statement{
		"SET tarragon.max_staleness = '5s'": {Kind: Set, Name: "tarragon.max_staleness", Value: "5s", NameStart: 4},
		"set Search_Path to a, \"B c\"":     {Kind: Set, Name: "search_path", Value: "a, B c", NameStart: 4},
		"set local x to default":            {Kind: Set, Name: "x", Value: "default", Local: true, ToDefault: true, NameStart: 10},
		"set time zone 'UTC'":               {Kind: Set, Name: "timezone", Value: "UTC", NameStart: 4},
		"set extra_float_digits = -3":       {Kind: Set, Name: "extra_float_digits", Value: "-3", NameStart: 4},
		"set session x = 'it''s'":           {Kind: Set, Name: "x", Value: "it's", NameStart: 12},
		"reset all":                         {Kind: Reset, NameStart: 6},
		"show tarragon.position":            {Kind: Show, Name: "tarragon.position"},
		"show time zone":                    {Kind: Show, Name: "timezone"},
		`deallocate "A"`:                    {Kind: Deallocate, Name: "A"},
	} {
		t.Run(query, func(t *testing.T) {
			is := is.New(t)
			want.End = len(query)
			is.Equal(Parse(query).Statements, []Statement{want})
		})
	}
}

func TestMarks(t *testing.T) {
	is := is.New(t)
	parsed := Parse("select 1 /*a='b',tarragon_max_staleness='5s', tarragon_request_key='a%20b'*/; select '/*tarragon_x=''1''*/'")
	is.Equal(len(parsed.Statements), 2)
	is.Equal(parsed.Marks, map[string]string{"tarragon_max_staleness": "5s", "tarragon_request_key": "a b"})
	is.Equal(len(Parse("  ; /* only a comment */ ;").Statements), 0)
	is.Equal(len(Parse("select 1 /* /* open */").Statements), 1)
}

func FuzzParse(f *testing.F) {
	f.Add("select $a$ /* ' */ $a$; set x.y = 'a''b'")
	f.Fuzz(func(t *testing.T, query string) {
		for _, s := range Parse(query).Statements {
			if s.Start < 0 || s.Start >= len(query) || s.NameStart > len(query) {
				t.Fatalf("statement has offsets outside of the query: %+v", s)
			}
		}
	})
}
