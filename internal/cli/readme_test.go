package cli

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/settings"
)

// Guards against settings in the README that the program rejects.
func TestReadmeSettingsAreAccepted(t *testing.T) {
	c := qt.New(t)
	readme, err := os.ReadFile("../../README.md")
	c.Assert(err, qt.IsNil)
	blocks := regexp.MustCompile("(?s)```toml\n(.*?)```").FindAllSubmatch(readme, -1)
	c.Assert(blocks, qt.HasLen, 2)
	roles := map[schema.Role]bool{}
	for _, block := range blocks {
		path := filepath.Join(t.TempDir(), "settings.toml")
		c.Assert(os.WriteFile(path, block[1], 0o600), qt.IsNil)
		role := settings.Detect(block[1])
		roles[role] = true
		if role == schema.Role_AGENT {
			_, err = settings.LoadAgent(path)
		} else {
			_, err = settings.LoadBalancer(path)
		}
		c.Check(err, qt.IsNil)
	}
	c.Check(roles[schema.Role_AGENT] && roles[schema.Role_BALANCER], qt.IsTrue)
}
