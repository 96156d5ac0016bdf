package wire

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// startMessages define an endpoint list, start balancer 3 and send it the list.
const startMessages = `{"what":"List","bank":0,"hosts":[{"engine":7,"rackZone":0,"model":0,"cohort":0,"condition":1,"share":1}]},` +
	`{"what":"Boot","gateway":3,"prng":5,"params":{"balancers":1,"me":0,"novel":{"x":1},"tickMs":5,` +
	`"bounds":{"sendCap":4},"domain":{"sizeCores":[8],"classThreads":[1]},` +
	`"lanes":[{"promiseMs":600,"deadlineMs":3000,"repeat":"repeatable","gain":1}],"registryMode":"push"}},` +
	`{"what":"BackendsChanged","gateway":3,"mode":2,"epoch":1,"bank":0}`

// arrivalMessage is the arrival of a request at balancer 3.
const arrivalMessage = `{"what":"Knock","gateway":3,"ref":"c:a","remainingMs":2000,"cls":0,"schemaNo":11}`

// batchOf returns a line of input with the messages.
func batchOf(messages string) []byte {
	return []byte(`{"timeMs":10,"round":4,"in":[` + messages + `]}`)
}

func TestBatchRoundTrip(t *testing.T) {
	out, err := NewHost().Batch(batchOf(startMessages + "," + arrivalMessage))
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`"round":4`, `{"what":"Place","gateway":3,"ref":"c:a","engine":7,"giveUpAfterMs":2000}`} {
		if !strings.Contains(string(out), want) {
			t.Errorf("%s lacks %s", out, want)
		}
	}
}

func TestEmptyBatch(t *testing.T) {
	out, err := NewHost().Batch(batchOf(""))
	if err != nil || string(out) != `{"round":4,"decisions":[]}` {
		t.Fatalf("%s %v", out, err)
	}
}

func TestMalformedInputNamesMessageAndField(t *testing.T) {
	for input, want := range map[string]string{
		`{"what":"Knock","gateway":3,"remainingMs":1,"cls":0}`:                                            "Knock: field ref is missing",
		`{"what":"Knock","gateway":3,"ref":"c:b","remainingMs":"x","cls":0}`:                              "Knock: field remainingMs: a string does not fit",
		`{"what":"AttemptEnd","gateway":3,"ref":"c:b","try":0,"engine":7,"result":11}`:                    "AttemptEnd: field result: 11 is unknown",
		`{"what":"Sing","gateway":3}`:                                                                     `message "Sing": unknown`,
		`{"what":"BackendsChanged","gateway":3,"mode":1,"bank":9}`:                                        "BackendsChanged: field bank: list 9 was not sent",
		`{"what":"TickDue","gateway":8,"cookie":"x"}`:                                                     "TickDue: field gateway: instance 8 was not started",
		`{"what":"Boot","gateway":4,"prng":1,"params":{"balancers":0}}`:                                   "Boot: params: Balancers: must be at least 1",
		`{"what":"Boot","gateway":4,"prng":1,"params":{"lanes":[{"repeat":"maybe"}],"registryMode":"x"}}`: `Boot: params: field lanes.repeat: "maybe" is unknown`,
	} {
		h := NewHost()
		if _, err := h.Batch(batchOf(startMessages)); err != nil {
			t.Fatal(err)
		}
		if _, err := h.Batch(batchOf(input)); err == nil || err.Error() != want {
			t.Errorf("%s: got %v, want %s", input, err, want)
		}
	}
}

func TestEventsForUnknownRequestsAreIgnored(t *testing.T) {
	h := NewHost()
	attemptEndMessage := `{"what":"AttemptEnd","gateway":3,"ref":"c:zz","try":0,"engine":7,"result":10,"spentMs":2,"complete":true}`
	abandonedMessage := `{"what":"Abandoned","gateway":3,"ref":"c:zz"}`
	if out, err := h.Batch(batchOf(startMessages + "," + attemptEndMessage + "," + abandonedMessage)); err != nil || strings.Contains(string(out), "zz") {
		t.Fatalf("%s %v", out, err)
	}
}

// TestPackageMakesNoDecisions checks that the package, which must only translate, imports neither a clock nor a random
// source.
func TestPackageMakesNoDecisions(t *testing.T) {
	files, err := filepath.Glob("*.go")
	if err != nil || len(files) < 5 {
		t.Fatal(files, err)
	}
	for _, f := range files {
		if strings.HasSuffix(f, "_test.go") {
			continue
		}
		text, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		for _, forbidden := range []string{`"time"`, `"math/rand`} {
			if strings.Contains(string(text), forbidden) {
				t.Errorf("%s imports %s", f, forbidden)
			}
		}
	}
}

func TestPanicBecomesFaultAction(t *testing.T) {
	actions := handleEvent(nil, 3, 0, nil) // a nil balancer panics
	if len(actions) != 1 {
		t.Fatalf("%v", actions)
	}
	if a, ok := actions[0].(textAction); !ok || a.Kind != "Bug" || a.Balancer != 3 || a.Text == "" {
		t.Fatalf("%v", actions)
	}
}

// TestSettingsOfProbesAndReports guards against dropping the cost of probes and the presence of load reports when
// settings are decoded.
func TestSettingsOfProbesAndReports(t *testing.T) {
	for via, want := range map[string]bool{"piggyback": true, "pull": true, "silent": false} {
		raw := `{"bounds":{"probes":true},"prices":{"probe":0.01,"peer":0.02},"report":{"via":"` + via + `"}}`
		settings, err := Settings([]byte(raw))
		if err != nil {
			t.Fatal(err)
		}
		if !settings.ProbesEnabled || settings.ProbeCost != 0.01 || settings.GossipCost != 0.02 || settings.LoadReportsEnabled != want {
			t.Errorf("via %s: %+v", via, settings)
		}
	}
}
