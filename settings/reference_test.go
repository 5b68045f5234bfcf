package settings

import (
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

const referenceHead = `# Settings of an instance

One YAML file an instance, ` + "`weldstreamd -settings FILE`" + `. ` + "`weldctl settings`" + ` prints this table.
It is made from settings/settings.go and settings/defaults.go by
` + "`go test ./settings -update`" + `.

`

// TestReference holds docs/SETTINGS.md against the sources, and each row
// against being without a meaning.
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
