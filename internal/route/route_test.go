package route

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/peridotstall/peridotstall/internal/config"

	_ "github.com/peridotstall/peridotstall/internal/testseed"
)

// Guards against a balancer that goes on using a failed host, or forgets one
// that came back, because it looks at changed hosts only.
func TestChangesAgreeWithTheWholeView(t *testing.T) {
	const hosts = 60
	s, err := config.NewSnapshot(sizedConfig(hosts))
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		down := map[string]bool{}
		usable := func(host string) bool { return !down[host] }
		table := New(s, usable, Candidates)
		for range rapid.IntRange(1, 5).Draw(t, "views") {
			var changed []string
			for _, i := range rapid.SliceOfN(rapid.IntRange(0, hosts-1), 0, 20).Draw(t, "changed") {
				host := fmt.Sprintf("h%d", i)
				down[host] = rapid.Bool().Draw(t, "down")
				changed = append(changed, host)
			}
			table = table.WithChanges(changed, usable)
			whole := table.WithHosts(usable)
			for id := range uint32(hosts) {
				if table.Usable(id+1) != whole.Usable(id+1) {
					t.Fatalf("target %d: usable %v by changes, %v by the whole view", id+1, table.Usable(id+1), whole.Usable(id+1))
				}
			}
		}
	})
}
