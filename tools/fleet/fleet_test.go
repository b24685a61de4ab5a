package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"math"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"basilrudder/internal/inventory"
	"basilrudder/internal/schema/callerapi"
	"basilrudder/internal/standin/engine"
)

func TestGeneratedInventoriesAreAccepted(t *testing.T) {
	for _, s := range []shape{{Customers: 10, Servers: 18, StepMS: 7, TTL: 1}, {Customers: 600, Servers: 60, StepMS: 250, TTL: 2}} {
		inv := s.generate()
		for i := range inv.Servers {
			inv.Servers[i].Address = fmt.Sprintf("127.0.0.1:%d", 1+i)
		}
		published, err := values(inv)
		if err != nil {
			t.Fatal(err)
		}
		var files []inventory.File
		for _, value := range published {
			files = append(files, inventory.File{Name: value.Key, Data: value.Data})
		}
		parsed, problems := inventory.Parse(files)
		if len(problems) > 0 {
			t.Fatal(problems)
		}
		if len(parsed.Customers) != s.Customers || len(parsed.Servers) != s.Servers+dataCentres {
			t.Errorf("%d customers and %d servers", len(parsed.Customers), len(parsed.Servers))
		}
	}
}

func TestLineThroughPoints(t *testing.T) {
	l, err := fitLine([]point{{1, 5}, {2, 7}, {4, 11}})
	if err != nil || math.Abs(l.Slope-2) > 1e-9 || math.Abs(l.Intercept-3) > 1e-9 || l.Worst > 1e-9 {
		t.Errorf("%+v, %v", l, err)
	}
	if _, err := fitLine([]point{{1, 5}, {1, 7}}); err == nil {
		t.Error("points of one X gave a slope")
	}
}

func TestStatOfAProgramWithBracketsInItsName(t *testing.T) {
	text := "7 (a) b) S 1 7 7 0 -1 4194304 1 0 0 0 150 50 0 0 20 0 9 0 100 1000 25 184467"
	u, err := parseStat([]byte(text))
	if err != nil || u.CPU != 2*time.Second || u.RSS == 0 {
		t.Errorf("%+v, %v", u, err)
	}
	if _, err := parseStat([]byte("7 (a) S 1")); err == nil {
		t.Error("a cut line was accepted")
	}
}

// The comparison is the oracle of the fault runs: one that misses a
// contradiction would let every fault pass. Each kind is brought about here.
func TestContradictionsAreFound(t *testing.T) {
	letter := work{class: "letter-0", tokens: 2}
	whole := engine.TokenText("a.1", 0) + engine.TokenText("a.1", 1)
	once := runs{"a": {{attempt: "a.1", server: "s"}}}
	notRun := told{id: "a", kind: answerRefused, verdict: callerapi.VerdictNotRun}
	for _, test := range []struct {
		name string
		ids  []told
		ran  runs
		want string
	}{
		{"whole and ran once", []told{{id: "a", kind: answerWhole, text: whole}}, once, ""},
		{"not run and did not", []told{notRun}, runs{}, ""},
		{"may have run and did", []told{{id: "a", kind: answerRefused, verdict: callerapi.VerdictMayHaveRun}}, once, ""},
		{"not run, yet it ran", []told{notRun}, once, "told not run"},
		{"never sent, yet it ran", []told{{id: "a", kind: answerUnsent}}, once, "never sent"},
		{"answered, yet it never ran", []told{{id: "a", kind: answerWhole, text: whole}}, runs{}, "never ran"},
		{"another request's answer", []told{{id: "a", kind: answerWhole, text: whole + "x"}}, once, "not that of the request"},
		{"ran under two ids", []told{notRun, {id: "b", kind: answerLost}}, runs{"b": {{attempt: "b.1"}, {attempt: "b.2"}}}, "ran 2 times"},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := strings.Join(contradictions([]*story{{work: letter, ids: test.ids}}, test.ran), "; ")
			if (test.want == "") != (got == "") || !strings.Contains(got, test.want) {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

func TestStreamedAnswerIsWholeOnlyWhenDone(t *testing.T) {
	chunk := "data: {\"choices\":[{\"delta\":{\"content\":\"a \"}}]}\n\n"
	if a := streamAnswer(strings.NewReader(chunk + "data: [DONE]\n\n")); a.kind != answerWhole || a.text != "a " {
		t.Errorf("%+v", a)
	}
	if a := streamAnswer(strings.NewReader(chunk)); a.kind != answerLost {
		t.Errorf("%+v", a)
	}
	refusal := `event: error` + "\n" + `data: {"error":{"verdict":"may_have_run","reason":"draining"}}` + "\n\n"
	if a := streamAnswer(strings.NewReader(chunk + refusal)); a.kind != answerRefused || a.refusal.Reason != "draining" {
		t.Errorf("%+v", a)
	}
}

func TestStacksAreSortedByRole(t *testing.T) {
	out := profileResult{Daemons: 2, Seconds: 10}
	out.sort([]byte(`File: fleet
-----------+-------------------------------------------------------
     100ms   syscall.Syscall
             basilrudder/internal/peer.(*link).write
-----------+-------------------------------------------------------
      20ms   runtime.mapaccess
             basilrudder/internal/sched.(*Group).Tick
             basilrudder/internal/daemon.(*Daemon).tick
-----------+-------------------------------------------------------
     300ms   syscall.Syscall
             basilrudder/internal/standin/engine.(*Server).writeStream
-----------+-------------------------------------------------------
`))
	if math.Abs(out.Control-0.6) > 1e-9 {
		t.Errorf("control is %v%% of a core, want 0.6", out.Control)
	}
}

// Guards against a rename of a type or method that leaves its stacks in another role: the
// methods of the table must be declared, and be sorted into their role.
func TestMethodsNamedByRolesAreDeclaredAndSorted(t *testing.T) {
	const orders, counting = "orders and hints of engines", "counting relayed tokens"
	for _, row := range []struct{ dir, pkg, receiver, method, role string }{
		{".", "main", "loadRun", "feed", "stand-ins and callers of the measurement"},
		{"../../internal/daemon", "basilrudder/internal/daemon", "poller", "tick", orders},
		{"../../internal/daemon", "basilrudder/internal/daemon", "orderSender", "tick", orders},
		{"../../internal/upstream", "basilrudder/internal/upstream", "Client", "LoadReport", orders},
		{"../../internal/upstream", "basilrudder/internal/upstream", "Client", "CacheEvents", orders},
		{"../../internal/upstream", "basilrudder/internal/upstream", "Client", "Order", orders},
		{"../../internal/upstream", "basilrudder/internal/upstream", "Client", "Holdings", orders},
		{"../../internal/daemon", "basilrudder/internal/daemon", "Daemon", "tick", "ticks"},
		{"../../internal/node", "basilrudder/internal/node", "Progress", "RecordToken", counting},
		{"../../internal/node", "basilrudder/internal/node", "Progress", "Tokens", counting},
	} {
		name := fmt.Sprintf("(*%s).%s", row.receiver, row.method)
		if !declaredMethods(t, row.dir)[name] {
			t.Errorf("%s has no method %s", row.pkg, name)
		}
		out := profileResult{Daemons: 1, Seconds: 1}
		out.sort([]byte("     100ms   syscall.Syscall\n             " + row.pkg + "." + name + "\n"))
		if _, ok := out.Percent[row.role]; !ok || len(out.Percent) != 1 {
			t.Errorf("%s.%s is sorted into %v, want %q", row.pkg, name, out.Percent, row.role)
		}
	}
}

// declaredMethods returns the methods with pointer receivers that the non-test files of a
// directory declare, as "(*Type).Method".
func declaredMethods(t *testing.T, dir string) map[string]bool {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	methods := make(map[string]bool)
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		for _, decl := range file.Decls {
			f, ok := decl.(*ast.FuncDecl)
			if !ok || f.Recv == nil {
				continue
			}
			if pointer, ok := f.Recv.List[0].Type.(*ast.StarExpr); ok {
				if receiver, ok := pointer.X.(*ast.Ident); ok {
					methods[fmt.Sprintf("(*%s).%s", receiver.Name, f.Name.Name)] = true
				}
			}
		}
	}
	return methods
}
