package experiment

import (
	"encoding/csv"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// Interval is a mean with its 95% bootstrap confidence interval.
type Interval struct {
	Mean float64 `json:"mean"`
	Lo   float64 `json:"lo"`
	Hi   float64 `json:"hi"`
	N    int     `json:"n"`
}

const resamples = 4000

// Bootstrap is the mean of a sample with the interval that resampling gives. It draws
// from a stream of its own, so that a table is the same each time.
func Bootstrap(x []float64) Interval {
	if len(x) == 0 {
		return Interval{}
	}
	rng := rand.New(rand.NewPCG(1, uint64(len(x))))
	means, one := make([]float64, resamples), make([]float64, len(x))
	for i := range means {
		for k := range one {
			one[k] = x[rng.IntN(len(x))]
		}
		means[i] = stat.Mean(one, nil)
	}
	slices.Sort(means)
	return Interval{stat.Mean(x, nil), stat.Quantile(0.025, stat.Empirical, means, nil), stat.Quantile(0.975, stat.Empirical, means, nil), len(x)}
}

// Row is a scenario and variant under one policy, over all seeds.
type Row struct {
	Scenario string   `json:"scenario"`
	Variant  string   `json:"variant"`
	Policy   string   `json:"policy"`
	Service  Interval `json:"service"`
	Worst    float64  `json:"worst_class"`
	Window   float64  `json:"worst_window"`
	Broken   int      `json:"rules_broken"`
	Wasted   float64  `json:"wasted_part"`
}

// Rows sums results up, in the order that Load gives them.
func Rows(results []Result) []Row {
	type at struct{ s, v, p string }
	var order []at
	by := map[at][]Result{}
	for _, r := range results {
		k := at{r.Scenario, r.Variant, r.Policy}
		if by[k] == nil {
			order = append(order, k)
		}
		by[k] = append(by[k], r)
	}
	var rows []Row
	for _, k := range order {
		row := Row{Scenario: k.s, Variant: k.v, Policy: k.p}
		var service []float64
		n := float64(len(by[k]))
		for _, r := range by[k] {
			service = append(service, r.Report.Service)
			row.Worst += r.Report.Parts["worst_class"] / n
			row.Window += r.Report.Parts["worst_window"] / n
			row.Broken += r.Report.RulesBroken
			row.Wasted += r.Report.Totals.Wasted / max(r.Report.Totals.WorkIn, 1) / n
		}
		row.Service = Bootstrap(service)
		rows = append(rows, row)
	}
	return rows
}

var header = []string{"scenario", "variant", "policy", "seeds", "service", "95% interval", "worst 10 s", "worst class", "wasted", "rules broken"}

func (r Row) fields() []string {
	f := func(x float64) string { return strconv.FormatFloat(x, 'f', 3, 64) }
	return []string{r.Scenario, r.Variant, r.Policy, strconv.Itoa(r.Service.N), f(r.Service.Mean),
		f(r.Service.Lo) + " to " + f(r.Service.Hi), f(r.Window), f(r.Worst), f(r.Wasted), strconv.Itoa(r.Broken)}
}

// Markdown writes rows as a table.
func Markdown(w io.Writer, rows []Row) error {
	_, err := fmt.Fprintf(w, "| %s |\n|%s\n", strings.Join(header, " | "), strings.Repeat(" --- |", len(header)))
	for _, r := range rows {
		if err == nil {
			_, err = fmt.Fprintf(w, "| %s |\n", strings.Join(r.fields(), " | "))
		}
	}
	return err
}

// CSV writes rows for other programs.
func CSV(w io.Writer, rows []Row) error {
	c := csv.NewWriter(w)
	_ = c.Write(header)
	for _, r := range rows {
		_ = c.Write(r.fields())
	}
	c.Flush()
	return c.Error()
}

// Difference is B less A on the days that both have.
type Difference struct {
	Scenario string   `json:"scenario"`
	Service  Interval `json:"difference"`
	Verdict  string   `json:"verdict"`
}

// Compare pairs results by scenario, variant and seed; what only one side has is left out.
func Compare(a, b []Result) []Difference {
	type at struct {
		s, v string
		seed uint64
	}
	left := map[at]float64{}
	for _, r := range a {
		left[at{r.Scenario, r.Variant, r.Seed}] = r.Report.Service
	}
	by := map[string][]float64{}
	var names []string
	var all []float64
	seen := map[at]bool{}
	for _, r := range b {
		k := at{r.Scenario, r.Variant, r.Seed}
		was, ok := left[k]
		if !ok || seen[k] {
			continue
		}
		seen[k] = true
		name := strings.TrimSuffix(r.Scenario+" "+r.Variant, " as-is")
		if by[name] == nil {
			names = append(names, name)
		}
		by[name] = append(by[name], r.Report.Service-was)
		all = append(all, r.Report.Service-was)
	}
	slices.Sort(names)
	var out []Difference
	for _, n := range names {
		slices.Sort(by[n])
		out = append(out, difference(n, by[n]))
	}
	if len(all) > 0 {
		slices.Sort(all)
		out = append(out, difference("all", all))
	}
	return out
}

// leastPairs is how many pairs an interval needs to say anything.
const leastPairs = 3

func difference(name string, x []float64) Difference {
	d := Difference{name, Bootstrap(x), "no difference seen"}
	switch {
	case len(x) < leastPairs:
		d.Verdict = fmt.Sprintf("too few pairs: %d", len(x))
	case d.Service.Lo > 0:
		d.Verdict = "B serves more"
	case d.Service.Hi < 0:
		d.Verdict = "A serves more"
	}
	return d
}

// Policies are those whose days are among the results, by name.
func Policies(l []Result) []string {
	var names []string
	for _, r := range l {
		if !slices.Contains(names, r.Policy) {
			names = append(names, r.Policy)
		}
	}
	slices.Sort(names)
	return names
}
