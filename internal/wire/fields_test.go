package wire

import (
	"fmt"
	"go/ast"
	"go/types"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/tools/go/packages"

	"aniseloft/decide"
	"aniseloft/internal/golden"
)

const settingsPage = "../../docs/settings.md"

// readersOfSettings returns the packages whose code reads each field of decide's settings, by the field's qualified
// name.
func readersOfSettings(t *testing.T) map[string][]string {
	loadedPackages, err := packages.Load(&packages.Config{
		Mode: packages.NeedName | packages.NeedSyntax | packages.NeedTypes | packages.NeedTypesInfo | packages.NeedImports,
		Dir:  "../..",
	}, "./decide", "./internal/config", "./internal/routing", "./internal/transport/...", "./internal/program")
	require.NoError(t, err)
	readers := map[string][]string{}
	for _, p := range loadedPackages {
		require.Empty(t, p.Errors)
		reader := strings.TrimPrefix(p.PkgPath, "aniseloft/")
		for _, file := range p.Syntax {
			// Validation of a field does not count as use.
			if name := p.Fset.Position(file.Pos()).Filename; strings.HasSuffix(name, "decide/validate.go") {
				continue
			}
			for _, name := range settingsFieldsRead(p.TypesInfo, file) {
				if !slices.Contains(readers[name], reader) {
					readers[name] = append(readers[name], reader)
				}
			}
		}
	}
	return readers
}

// settingsFieldsRead returns the qualified names of the settings' fields that a file reads. Assignments do not count.
func settingsFieldsRead(info *types.Info, file *ast.File) (names []string) {
	isWritten := map[ast.Expr]bool{}
	ast.Inspect(file, func(n ast.Node) bool {
		if assignment, ok := n.(*ast.AssignStmt); ok {
			for _, assigned := range assignment.Lhs {
				isWritten[assigned] = true
			}
		}
		if selector, ok := n.(*ast.SelectorExpr); ok && !isWritten[selector] {
			if name, ok := settingsFieldName(info.Uses[selector.Sel]); ok {
				names = append(names, name)
			}
		}
		return true
	})
	return names
}

// settingsFieldName returns the qualified name of a field of decide's settings.
func settingsFieldName(object types.Object) (name string, ok bool) {
	field, ok := object.(*types.Var)
	if !ok || !field.IsField() || field.Pkg().Path() != "aniseloft/decide" {
		return "", false
	}
	for _, owner := range []string{"Settings", "Class", "Rules", "EndpointKind", "Tenant"} {
		if belongsTo(field, owner) {
			return owner + "." + field.Name(), true
		}
	}
	return "", false
}

// belongsTo reports whether the field is declared in the named type of package decide.
func belongsTo(fieldVar *types.Var, owner string) bool {
	ownerType, ok := fieldVar.Pkg().Scope().Lookup(owner).Type().Underlying().(*types.Struct)
	if !ok {
		return false
	}
	for i := range ownerType.NumFields() {
		if ownerType.Field(i).Pos() == fieldVar.Pos() {
			return true
		}
	}
	return false
}

// TestSettingsPageMatchesCode checks that each field of the settings that the program reads is in SettingsFields, and
// that docs/settings.md is up to date.
func TestSettingsPageMatchesCode(t *testing.T) {
	readers := readersOfSettings(t)
	require.Greater(t, len(readers), 40, "the search finds most fields")
	documentedTargets := map[string]bool{}
	for _, f := range SettingsFields {
		documentedTargets[f.Target] = true
		require.NotEmpty(t, f.Effect, f.Path)
		require.Equal(t, f.Target != "", f.Default != "", f.Path)
	}
	// MaxInFlight is set from the program's own limits; RetryBudgetEnabled from the presence of rules.repeatRatio.
	undocumentedTargets := []string{"Settings.MaxInFlight", "Rules.RetryBudgetEnabled", "Settings.Classes", "Settings.Kinds", "Settings.Tenants", "Settings.Rules"}
	for name := range readers {
		require.True(t, documentedTargets[name] || slices.Contains(undocumentedTargets, name), "%s is read but not in wire.SettingsFields", name)
	}
	var b strings.Builder
	b.WriteString("# Settings\n\nThe `settings` of a coordinator's configuration: each field, the packages that read it, its effect and the meaning of its\n" +
		"absence. This page is generated from `internal/wire/fields.go` and from the code that reads each field; a test checks that\n" +
		"it is up to date (`go test ./internal/wire -run SettingsPage -update` rewrites it). `aniseloftctl check config FILE`\n" +
		"reports the problems of a configuration. A field that is not listed here is ignored, with a line in the log.\n\n" +
		"| field | read by | effect | if absent |\n| --- | --- | --- | --- |\n")
	for _, f := range SettingsFields {
		readingPackages := slices.Clone(readers[f.Target])
		slices.Sort(readingPackages)
		readBy := strings.Join(readingPackages, ", ")
		if f.Target == "" || readBy == "" {
			readBy = "-"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", f.Path, readBy, f.Effect, f.Default)
	}
	if *golden.Update {
		require.NoError(t, os.WriteFile(settingsPage, []byte(b.String()), 0o644))
	}
	got, err := os.ReadFile(settingsPage)
	require.NoError(t, err)
	require.Equal(t, b.String(), string(got), "the page is out of date: run with -update")
}

// TestEveryDecodedFieldIsListed checks that exactly the fields with a target in SettingsFields are decoded.
func TestEveryDecodedFieldIsListed(t *testing.T) {
	var decodedPaths []string
	var walk func(typ reflect.Type, path string)
	walk = func(typ reflect.Type, path string) {
		switch typ.Kind() {
		case reflect.Pointer:
			walk(typ.Elem(), path)
		case reflect.Slice:
			walk(typ.Elem(), path+"[]")
		case reflect.Struct:
			for i := range typ.NumField() {
				f := typ.Field(i)
				walk(f.Type, strings.TrimPrefix(path+"."+f.Tag.Get("json"), "."))
			}
		default:
			decodedPaths = append(decodedPaths, path)
		}
	}
	walk(reflect.TypeFor[params](), "")
	var listedPaths []string
	for _, f := range SettingsFields {
		if f.Target != "" {
			listedPaths = append(listedPaths, f.Path)
		}
	}
	slices.Sort(decodedPaths)
	slices.Sort(listedPaths)
	require.Equal(t, decodedPaths, listedPaths)
}

func TestInspectReportsAllFindings(t *testing.T) {
	settings := `{"balancers":2,"me":5,"tickMs":5,"novel":{"x":1},"machineTypes":["std-16"],"zones":["a"],
	 "bounds":{"sendCap":3,"maxRetryAfterMs":-5,"retryAfter":true,"fast":true},
	 "domain":{"sizeCores":[16,0],"kindMemoryMb":[-1],"classThreads":[1,2],"progressMs":-1,"grantsCount":true},
	 "lanes":[{"name":"a","promiseMs":500,"deadlineMs":300,"repeat":"by_key","gain":0,"confinedTo":[4]},
	  {"name":"b","promiseMs":0,"deadlineMs":300,"repeat":"repeatable","gain":1,"colour":"red"}],
	 "rules":{"coldMs":1000,"repeatRatio":-1},"registryMode":"push"}`
	var lines []string
	_, findings := Inspect([]byte(settings))
	for _, f := range findings {
		lines = append(lines, f.String())
	}
	require.Equal(t, []string{
		`me = 5: must be from 0 to Balancers-1; the program does not start`,
		`rules.resendSpanMs = absent: must be above 0; the program does not start`,
		`rules.repeatRatio = -1: must be 0 or more; the program does not start`,
		`domain.sizeCores[1] = 0: must be above 0; the program does not start`,
		`lanes[1].promiseMs = 0: must be above 0; the program does not start`,
		`domain.kindMemoryMb[0] = -1: must be 0 or more; the kind's memory is treated as unlimited`,
		`lanes[0].gain = 0: the weight is 0; pending requests of the class are started after all others`,
		`lanes[0].promiseMs = 500: above the deadline; an answer earns the complete weight up to the deadline`,
		`lanes[0].repeatWindowMs = absent: must be above 0 for deduplication by key; requests that may have run are not retried`,
		`lanes[0].confinedTo = [4]: contains no configured zone; no endpoint may run the class: its requests wait and are rejected`,
		`domain.mostGrant = absent: must be above 0 if memory grants are enabled; no grant is requested`,
		`domain.progressMs = -1: must be 0 or more; treated as 0: no progress notices`,
		`bounds.maxRetryAfterMs = -5: must be 0 or more; treated as 0: rejections give no retry time`,
		`rules.coldFrom = absent: the slow-start budget, its product with OverloadRatio and OverloadWindow, must be above 0; an endpoint gets no requests until it has warmed up`,
		`bounds.fast = true: unknown field; it is ignored`,
		`lanes[1].colour = "red": unknown field; it is ignored`,
		`novel = {"x":1}: unknown field; it is ignored`,
	}, lines)
	_, findings = Inspect([]byte(`[`))
	require.True(t, findings[0].Fatal)
	_, findings = Inspect([]byte(`{"lanes":[{"repeat":"maybe"}]}`))
	require.Equal(t, `settings = as given: field lanes.repeat: "maybe" is unknown; the program does not start`, findings[0].String())
	_, err := decide.New(decide.Settings{}, 1)
	require.Error(t, err)
}
