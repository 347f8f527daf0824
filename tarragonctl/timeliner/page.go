package timeliner

import (
	_ "embed" // Required by go:embed.
	"html/template"
	"io"

	"tarragonshed.example/wire/operator/gen/daemon"
)

//go:embed page.html
var pageSource string

var page = template.Must(template.New("page").Parse(pageSource))

// Timeline is the merged timeline of the daemons of a deployment.
type Timeline struct {
	// Events are ordered by the hybrid logical clock.
	Events []*daemon.TimelineEvent `json:"events"`
	// Missing lists the daemons that did not answer, each with its error.
	Missing []string `json:"missing"`
}

// WritePage writes the timeline as a self-contained HTML page, which loads no other
// resource.
func WritePage(w io.Writer, timeline Timeline) error {
	return page.Execute(w, timeline)
}
