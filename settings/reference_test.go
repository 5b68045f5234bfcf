package settings

import (
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

const referenceHead = `# Settings of an instance

Each instance has its own YAML file, ` + "`weldstreamd -settings FILE`" + `. ` + "`weldctl settings`" + ` prints this table.
It is generated from settings/settings.go, settings/defaults.go and settings/node.go by
` + "`go test ./settings -update`" + `.

`

// TestReference checks that docs/SETTINGS.md is up to date with the sources and that
// every setting has a description.
func TestReference(t *testing.T) {
	text, err := Reference()
	if err != nil {
		t.Fatal(err)
	}
	for row := range strings.Lines(text) {
		if strings.HasSuffix(strings.TrimSpace(row), "|  |") {
			t.Errorf("no meaning: %s", row)
		}
	}
	goldie.New(t, goldie.WithFixtureDir("../docs"), goldie.WithNameSuffix(".md")).Assert(t, "SETTINGS", []byte(referenceHead+text))
}
