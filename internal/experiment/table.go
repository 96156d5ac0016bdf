package experiment

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Row summarizes one scenario and variant under one policy, over all seeds. Service is the score; WorstClass and WorstWindow
// are components of it. All are from 0 to 1.
type Row struct {
	Scenario    string   `json:"scenario"`
	Variant     string   `json:"variant"`
	Policy      string   `json:"policy"`
	Service     Interval `json:"service"`
	WorstClass  float64  `json:"worst_class"`
	WorstWindow float64  `json:"worst_window"` // score of the worst window of 10 s
	RulesBroken int      `json:"rules_broken"`
	WastedRatio float64  `json:"wasted_part"` // ratio of wasted work to all work that engines received
}

// Rows summarizes results, in the order in which Load returns them.
func Rows(results []Result) []Row {
	type rowKey struct{ scenario, variant, policy string }
	var order []rowKey
	grouped := map[rowKey][]Result{}
	for _, r := range results {
		key := rowKey{r.Scenario, r.Variant, r.Policy}
		if grouped[key] == nil {
			order = append(order, key)
		}
		grouped[key] = append(grouped[key], r)
	}
	var rows []Row
	for _, key := range order {
		rows = append(rows, summarize(grouped[key]))
	}
	return rows
}

// summarize returns the row of results that differ only in their seed.
func summarize(results []Result) Row {
	row := Row{Scenario: results[0].Scenario, Variant: results[0].Variant, Policy: results[0].Policy}
	var service []float64
	count := float64(len(results))
	for _, r := range results {
		service = append(service, r.Report.Service)
		row.WorstClass += r.Report.Parts["worst_class"] / count
		row.WorstWindow += r.Report.Parts["worst_window"] / count
		row.RulesBroken += r.Report.RulesBroken
		row.WastedRatio += r.Report.Totals.Wasted / max(r.Report.Totals.WorkIn, 1) / count
	}
	row.Service = Bootstrap(service)
	return row
}

// header holds the column names of tables.
var header = []string{"scenario", "variant", "policy", "seeds", "service", "95% interval", "worst 10 s", "worst class", "wasted", "rules broken"}

// fields returns the cells of a row in the order of header, as text.
func (r Row) fields() []string {
	decimal := func(x float64) string { return strconv.FormatFloat(x, 'f', 3, 64) }
	return []string{
		r.Scenario, r.Variant, r.Policy, strconv.Itoa(r.Service.Count),
		decimal(r.Service.Mean), decimal(r.Service.Lower) + " to " + decimal(r.Service.Upper),
		decimal(r.WorstWindow), decimal(r.WorstClass), decimal(r.WastedRatio), strconv.Itoa(r.RulesBroken),
	}
}

// Markdown writes rows as a Markdown table.
func Markdown(w io.Writer, rows []Row) error {
	if _, err := fmt.Fprintf(w, "| %s |\n|%s\n", strings.Join(header, " | "), strings.Repeat(" --- |", len(header))); err != nil {
		return fmt.Errorf("table: %w", err)
	}
	for _, r := range rows {
		if _, err := fmt.Fprintf(w, "| %s |\n", strings.Join(r.fields(), " | ")); err != nil {
			return fmt.Errorf("table: %w", err)
		}
	}
	return nil
}

// CSV writes rows as comma-separated values with a header.
func CSV(w io.Writer, rows []Row) error {
	c := csv.NewWriter(w)
	_ = c.Write(header) // Error returns the first error of all writes
	for _, r := range rows {
		_ = c.Write(r.fields())
	}
	c.Flush()
	return c.Error()
}
