package scenario

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// Each script in testdata guards against the failure that its head comment
// describes.
func TestScenarios(t *testing.T) {
	commands := map[string]func(ts *testscript.TestScript, neg bool, args []string){}
	for name, command := range Commands {
		commands[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			out, err := command(ts.Value("script").(*Script), args)
			if err != nil && !neg {
				ts.Fatalf("%v", err)
			}
			if err == nil && neg {
				ts.Fatalf("command succeeded, want an error: %s", out)
			}
			if out != "" {
				ts.Logf("%s", out)
			}
		}
	}
	testscript.Run(t, testscript.Params{
		Dir:  "testdata",
		Cmds: commands,
		Setup: func(env *testscript.Env) error {
			env.Values["script"] = &Script{}
			return nil
		},
	})
}
