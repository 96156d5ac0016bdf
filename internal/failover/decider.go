package failover

import (
	"fmt"
	"math"
	"slices"
	"sort"
)

// Verdict is what is held of a zone.
type Verdict string

// The verdicts. A zone that some can't reach and others can is well, and only left by those who can't.
const (
	Well   Verdict = "well"
	Slow   Verdict = "slow"   // it answers late: it has less room
	Dead   Verdict = "dead"   // nobody who should reach it does
	Empty  Verdict = "empty"  // the list names no engine there
	Unsure Verdict = "unsure" // nobody has said anything lately
)

// Words of operators.
const (
	Evacuate = "evacuate" // a zone gets less and less, over a time
	Return   = "return"   // it gets work again, by the ramp
	Freeze   = "freeze"   // nothing is moved
	Thaw     = "thaw"
)

// Word is what an operator wants. It goes before evidence, and ends by itself where it has an end.
type Word struct {
	Kind string `json:"kind"`
	Zone int    `json:"zone"`
	Over Millis `json:"over,omitempty"` // how long an evacuation takes
	For  Millis `json:"for,omitempty"`  // after which the word ends; 0: it stands
}

// told is a summary as it was heard.
type told struct {
	Summary
	at Millis
}

// pair is what the witnesses of one zone hold of another.
type pair struct {
	bad, good int  // periods in a row of bad evidence, and of good
	left      bool // no work goes that way
	falls     int  // times it was left, lately
	fellAt    Millis
	back      float64 // part of the way back: 1 is all
}

// Decider is the owner's side: it hears summaries and decides placements.
type Decider struct {
	set       Settings
	fence     uint64
	epoch     uint64
	summaries map[string]told
	listed    []Listed
	pairs     [][]pair // by the witnesses' zone and the zone
	words     []word
	last      Placement
	decidedAt Millis
}

type word struct {
	Word
	at Millis
}

// NewDecider returns a decider under a grant's fence, which knows nothing: it begins with near for all.
func NewDecider(s Settings, fence uint64) (*Decider, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	d := &Decider{set: s, fence: fence, summaries: map[string]told{}, listed: make([]Listed, len(s.Zones)), decidedAt: -1}
	for range s.Zones {
		row := make([]pair, len(s.Zones))
		for z := range row {
			row[z].back = 1
		}
		d.pairs = append(d.pairs, row)
	}
	return d, nil
}

// Adopt goes on from a placement that an earlier owner decided, so that a change of owners moves nothing by itself.
func (d *Decider) Adopt(p Placement) {
	if d.set.CheckPlacement(p) == nil && p.Fence < d.fence {
		d.last = p
	}
}

// Hear takes a coordinator's summary. One that can't be is an error and changes nothing; one that is older than what
// was heard is nothing.
func (d *Decider) Hear(now Millis, x Summary) error {
	if err := d.set.check(x); err != nil {
		return err
	}
	if was, ok := d.summaries[x.From]; ok && x.Seq <= was.Seq && now-was.at < d.set.Life {
		return nil
	}
	d.summaries[x.From] = told{x, now}
	return nil
}

// List takes what the list of engines says, by zone.
func (d *Decider) List(l []Listed) { d.listed = slices.Clone(l) }

// Say takes an operator's word.
func (d *Decider) Say(now Millis, w Word) error {
	if !slices.Contains([]string{Evacuate, Return, Freeze, Thaw}, w.Kind) {
		return fmt.Errorf("failover: %q is no word; evacuate, return, freeze and thaw are", w.Kind)
	}
	if w.Zone < 0 || w.Zone >= len(d.set.Zones) {
		return fmt.Errorf("failover: there is no zone %d", w.Zone)
	}
	d.words = slices.DeleteFunc(d.words, func(o word) bool {
		freezes := func(k string) bool { return k == Freeze || k == Thaw }
		return freezes(o.Kind) == freezes(w.Kind) && (freezes(w.Kind) || o.Zone == w.Zone)
	})
	if w.Kind == Return {
		for e := range d.pairs {
			d.pairs[e][w.Zone].back = 0 // by the ramp, whatever was before
		}
		return nil
	}
	if w.Kind != Thaw {
		d.words = append(d.words, word{w, now})
	}
	return nil
}

// fresh are the summaries that still count.
func (d *Decider) fresh(now Millis) (l []told) {
	for from, t := range d.summaries {
		if now-t.at > d.set.Life {
			delete(d.summaries, from)
			continue
		}
		l = append(l, t)
	}
	sort.Slice(l, func(i, j int) bool { return l[i].From < l[j].From })
	return l
}

// bad tells what a witness holds of a zone: -1 bad, 1 good, 0 nothing.
func (v Seen) bad() int {
	switch {
	case v.Fails >= badLeast && float64(v.Fails) >= badRatio*float64(v.Answers):
		return -1
	case v.Answers > 0:
		return 1
	}
	return 0
}

// cutOff tells whether a witness is itself cut off: it reaches nothing of what it tries, in two zones or more.
func cutOff(x Summary) bool {
	tried, bad := 0, 0
	for _, v := range x.Seen {
		if b := v.bad(); b != 0 {
			tried++
			if b < 0 {
				bad++
			}
		}
	}
	return tried >= 2 && bad == tried
}

// voices counts what the witnesses of each zone hold of each: one voice for each coordinator, none for one that is
// itself cut off while others of its zone are not.
func (d *Decider) voices(all []told) (good, bad [][]int) {
	n := len(d.set.Zones)
	good, bad = make([][]int, n), make([][]int, n)
	for w := range n {
		good[w], bad[w] = make([]int, n), make([]int, n)
		reaches := slices.ContainsFunc(all, func(t told) bool { return t.Zone == w && !cutOff(t.Summary) })
		for _, t := range all {
			if t.Zone != w || reaches && cutOff(t.Summary) {
				continue
			}
			for z, v := range t.Seen {
				switch v.bad() {
				case 1:
					good[w][z]++
				case -1:
					bad[w][z]++
				}
			}
		}
	}
	return good, bad
}

// judge books evidence of a period and moves what is held of each way: to left after a stated onset, back after a time
// that doubles with each fall, by a ramp.
func (d *Decider) judge(now Millis, all []told) {
	good, bad := d.voices(all)
	for w := range d.pairs {
		for z := range d.pairs[w] {
			p := &d.pairs[w][z]
			switch g, b := good[w][z], bad[w][z]; {
			case b > g: // more see it fail than answer
				p.bad, p.good = p.bad+1, 0
				p.fellAt = now // what goes on failing is not forgiven meanwhile
			case g > b:
				p.bad, p.good = 0, p.good+1
			}
			if p.falls > 0 && now-p.fellAt > forgetAfter*d.set.Period {
				p.falls = 0
			}
			if !p.left && p.bad >= onsetAfter {
				p.left, p.back, p.falls = true, 0, p.falls+1
			}
			hold := holdFirst * math.Exp2(float64(min(max(p.falls-1, 0), holdMost)))
			if p.left && float64(p.good) >= hold {
				p.left = false
			}
			if !p.left && p.back < 1 {
				p.back = math.Min(p.back+1.0/returnOver, 1)
			}
		}
	}
}

// witnessed tells whether anybody in a zone says anything of another.
func witnessed(good, bad [][]int, w, z int) bool { return good[w][z]+bad[w][z] > 0 }

// Verdicts are what is held of each zone now.
func (d *Decider) Verdicts(now Millis) []Verdict {
	all := d.fresh(now)
	good, bad := d.voices(all)
	l := make([]Verdict, len(d.set.Zones))
	for z := range l {
		l[z] = d.verdict(z, good, bad, all)
	}
	return l
}

func (d *Decider) verdict(z int, good, bad [][]int, all []told) Verdict {
	if d.set.room(d.listed[z]) <= 0 {
		return Empty
	}
	says, left, others := 0, 0, 0
	for w := range d.pairs {
		if witnessed(good, bad, w, z) || d.pairs[w][z].left {
			says++
			if w != z {
				others++
			}
			if d.pairs[w][z].left {
				left++
			}
		}
	}
	switch {
	case says == 0:
		return Unsure
	case left == says && (others > 0 || len(d.pairs) == 1 || says == 1):
		return Dead
	case d.stretch(z, all) > math.Log(slowFrom):
		return Slow
	}
	return Well
}

// stretch is the median of what witnesses tell of a zone's latency, so that one voice changes nothing.
func (d *Decider) stretch(z int, all []told) float64 {
	var l []float64
	for _, t := range all {
		if t.Seen[z].Answers > 0 {
			l = append(l, t.Seen[z].Stretch)
		}
	}
	return median(l)
}

func median(l []float64) float64 {
	if len(l) == 0 {
		return 0
	}
	sort.Float64s(l)
	return l[len(l)/2]
}

// offered sums what clients ask for by zone of entry and class. One coordinator's word counts for no more than several
// times the median's: some do get that much, and one that lies empties no zone.
func (d *Decider) offered(all []told) [][]float64 {
	var totals []float64
	for _, t := range all {
		sum := 0.0
		for _, o := range t.Offered {
			sum += o
		}
		totals = append(totals, sum)
	}
	most := mostOffered * median(slices.Clone(totals))
	out := make([][]float64, len(d.set.Zones))
	for e := range out {
		out[e] = make([]float64, len(d.set.Classes))
	}
	for i, t := range all {
		part := 1.0
		if len(all) > 2 && totals[i] > most {
			part = most / totals[i]
		}
		for c, o := range t.Offered {
			out[t.Zone][c] += o * part
		}
	}
	return out
}

// believe keeps the word of a few from emptying a zone: what is offered there beyond its room counts only where most of
// those who send to it see that it is full, or slower than it was.
func (d *Decider) believe(offered [][]float64, room []float64, all []told) {
	for e, byClass := range offered {
		sum := 0.0
		for _, o := range byClass {
			sum += o
		}
		if sum <= room[e] || room[e] <= 0 || d.strained(e, all) {
			continue
		}
		for c := range byClass {
			byClass[c] *= room[e] / sum
		}
	}
}

// strained tells whether most of those who send to a zone see that it has no room to spare.
func (d *Decider) strained(z int, all []told) bool {
	yes, says := 0, 0
	for _, t := range all {
		if v := t.Seen[z]; v.Answers > 0 {
			says++
			if v.Full > 0 || v.Stretch > math.Log(strainedFrom) {
				yes++
			}
		}
	}
	return 2*yes > says
}

// rooms are what each zone can do: by the list, less where it is slow, by the operators' words, and by the ramp of what
// comes back.
func (d *Decider) rooms(now Millis, all []told) []float64 {
	l := make([]float64, len(d.set.Zones))
	for z := range l {
		l[z] = d.set.room(d.listed[z])
		if s := d.stretch(z, all) - math.Log(slowFrom); s > 0 {
			l[z] *= math.Exp(-s)
		}
		l[z] *= d.allowed(now, z)
	}
	return l
}

// allowed is the part of a zone's room that operators leave.
func (d *Decider) allowed(now Millis, z int) float64 {
	for _, w := range d.words {
		if w.Kind == Evacuate && w.Zone == z {
			if w.Over <= 0 {
				return 0
			}
			return math.Max(1-(now-w.at)/w.Over, 0)
		}
	}
	return 1
}

// Decide makes the placement of this period.
func (d *Decider) Decide(now Millis) Placement {
	d.words = slices.DeleteFunc(d.words, func(w word) bool { return w.For > 0 && now-w.at >= w.For })
	all := d.fresh(now)
	if d.decidedAt < 0 || now-d.decidedAt >= d.set.Period*0.9 {
		d.judge(now, all)
		d.decidedAt = now
	}
	d.epoch++
	p := Placement{Fence: d.fence, Epoch: d.epoch, Life: d.set.Life}
	frozen := slices.ContainsFunc(d.words, func(w word) bool { return w.Kind == Freeze })
	if frozen && d.last.Shares != nil {
		p.Shares, p.Panic = d.last.Shares, d.last.Panic
	} else {
		p.Shares, p.Panic = d.place(now, all)
	}
	d.last = p
	return p
}

// place is the placement that evidence, list and words ask for now.
func (d *Decider) place(now Millis, all []told) (shares [][][]float64, panics bool) {
	room, offered := d.rooms(now, all), d.offered(all)
	d.believe(offered, room, all)
	good, bad := d.voices(all)
	verdicts := make([]Verdict, len(room))
	total, usable := 0.0, 0.0
	for z := range room {
		verdicts[z] = d.verdict(z, good, bad, all)
		full := d.set.room(d.listed[z])
		if total += full; verdicts[z] != Dead {
			usable += full
		}
	}
	if panics = total > 0 && usable < panicBelow*total; panics {
		return d.evenly(room), true
	}
	for z, v := range verdicts {
		if v == Dead {
			room[z] = 0
		}
	}
	shares = d.set.allocate(offered, room, d.open)
	d.try(shares, verdicts)
	return shares, false
}

// open is the part of a zone's room that may be used from another: none once it was left, and by a ramp as it is
// returned to.
func (d *Decider) open(e, z int) float64 {
	if d.pairs[e][z].left {
		return 0
	}
	return d.pairs[e][z].back
}

// evenly uses every zone by its room, where verdicts leave too little to be believed: rather all than none.
func (d *Decider) evenly(room []float64) [][][]float64 {
	n := len(room)
	out := make([][][]float64, n)
	for e := range n {
		out[e] = make([][]float64, len(d.set.Classes))
		for c, class := range d.set.Classes {
			out[e][c] = make([]float64, n)
			sum := 0.0
			for z := range n {
				if d.set.permitted(class, e, z) {
					sum += room[z]
				}
			}
			for z := range n {
				if sum > 0 && d.set.permitted(class, e, z) {
					out[e][c][z] = room[z] / sum
				}
			}
		}
	}
	return out
}

// try sends a little of the cheapest class to zones that were left and are listed: without it nothing would tell that
// they are back.
func (d *Decider) try(shares [][][]float64, verdicts []Verdict) {
	cheap := 0
	for c, class := range d.set.Classes {
		if class.Worth*class.Work < d.set.Classes[cheap].Worth*d.set.Classes[cheap].Work {
			cheap = c
		}
	}
	for e := range shares {
		for z, v := range verdicts {
			if !d.pairs[e][z].left || v == Empty || !d.set.permitted(d.set.Classes[cheap], e, z) {
				continue
			}
			row := shares[e][cheap]
			sum := 0.0
			for _, x := range row {
				sum += x
			}
			for k := range row {
				row[k] *= math.Min(1, (1-trialShare)/math.Max(sum, 1e-9))
			}
			row[z] += trialShare
		}
	}
}

// Plan tells what would be decided now were a zone without room: what staff look at before they evacuate it.
func (d *Decider) Plan(now Millis, without int) (shares [][][]float64, turnedAway float64) {
	all := d.fresh(now)
	room, offered := d.rooms(now, all), d.offered(all)
	if without >= 0 && without < len(room) {
		room[without] = 0
	}
	good, bad := d.voices(all)
	for z := range room {
		if d.verdict(z, good, bad, all) == Dead {
			room[z] = 0
		}
	}
	shares = d.set.allocate(offered, room, d.open)
	asked, served := 0.0, 0.0
	for e := range shares {
		for c, class := range d.set.Classes {
			worth := offered[e][c] * class.value()
			asked += worth
			for _, x := range shares[e][c] {
				served += worth * x
			}
		}
	}
	if asked > 0 {
		turnedAway = 1 - served/asked
	}
	return shares, turnedAway
}
