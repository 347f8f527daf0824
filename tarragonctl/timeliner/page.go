package timeliner

import (
	_ "embed" // Holds the page.
	"html/template"
	"io"

	"tarragonshed.example/wire/operator/gen/daemon"
)

//go:embed page.html
var pageSource string

var page = template.Must(template.New("page").Parse(pageSource))

// Timeline is a merged timeline.
type Timeline struct {
	Events []*daemon.TimelineEvent `json:"events"`
	// Missing names the daemons that did not answer, and why.
	Missing []string `json:"missing"`
}

// WritePage writes the story as one page that needs nothing else.
func WritePage(w io.Writer, story Timeline) error {
	return page.Execute(w, story)
}
