package decide

import (
	"errors"
	"fmt"
)

// Problem is one thing in settings that can't be right, or that can't be followed.
type Problem struct {
	Field string // as in Settings, such as Classes[1].Aim
	Says  string // what is wrong with it
	Then  string // what is done about it; a fatal one ends the start
	Fatal bool
}

// check names the first field that cannot be right.
func check(s *Settings) error {
	for _, p := range Problems(s) {
		if p.Fatal {
			return errors.New(p.Field + ": " + p.Says)
		}
	}
	return nil
}

// Problems are all that is wrong with settings, in the order of their fields.
func Problems(s *Settings) []Problem {
	var l []Problem
	fatal := func(bad bool, says, field string, at ...any) {
		if bad {
			l = append(l, Problem{Field: fmt.Sprintf(field, at...), Says: says, Fatal: true})
		}
	}
	odd := func(bad bool, says, then, field string, at ...any) {
		if bad {
			l = append(l, Problem{Field: fmt.Sprintf(field, at...), Says: says, Then: then})
		}
	}
	const above, positive = "must be above 0", "must be 0 or more"
	fatal(s.Gateways < 1, "at least one is needed", "Gateways")
	fatal(s.Gateways >= 1 && (s.Self < 0 || s.Self >= s.Gateways), "not among the gateways", "Self")
	fatal(len(s.Classes) == 0, "none given", "Classes")
	fatal(len(s.Kinds) == 0, "none given", "Kinds")
	fatal(s.MaxAttempts < 1, "at least one is needed", "MaxAttempts")
	fatal(!(s.Tick > 0), above, "Tick")
	ru := s.Rules
	fatal(s.MustAsk && !(ru.AskWithin > 0), above, "Rules.AskWithin")
	fatal(ru.Rationed && !(ru.RetrySpan > 0), above, "Rules.RetrySpan")
	fatal(ru.RetryShare < 0, positive, "Rules.RetryShare")
	fatal(ru.RetryFree < 0, positive, "Rules.RetryFree")
	for i, k := range s.Kinds {
		fatal(!(k.Cores > 0), above, "Kinds[%d].Cores", i)
		odd(k.MemoryMB < 0, positive, "memory bounds nothing there", "Kinds[%d].MemoryMB", i)
	}
	for i, c := range s.Classes {
		fatal(c.Threads < 1, "at least one is needed", "Classes[%d].Threads", i)
		fatal(!(c.Aim > 0), above, "Classes[%d].Aim", i)
		fatal(!(c.Deadline > 0), above, "Classes[%d].Deadline", i)
		fatal(c.AimStretch < 0, positive, "Classes[%d].AimStretch", i)
		fatal(c.Worth < 0, positive, "Classes[%d].Worth", i)
		odd(c.Worth == 0, "the class is worth nothing", "it goes behind all others", "Classes[%d].Worth", i)
		odd(c.LateWorth < 0 || c.LateWorth > 1, "not a part from 0 to 1", "it is followed as it stands", "Classes[%d].LateWorth", i)
		odd(c.Aim > c.Deadline && c.Deadline > 0, "beyond the deadline", "an answer counts until the client leaves", "Classes[%d].Aim", i)
		odd(c.Repeat == RepeatKeyed && !(c.RepeatWindow > 0), "no time in which a key protects",
			"what may have run is not sent again", "Classes[%d].RepeatWindow", i)
		odd(c.Zones != nil && within(c.Zones, len(s.Zones)) == 0, "names no zone that there is",
			"every request of the class is refused", "Classes[%d].Zones", i)
		odd(c.Kinds != nil && within(c.Kinds, len(s.Kinds)) == 0, "names no kind that there is",
			"every request of the class is refused", "Classes[%d].Kinds", i)
	}
	odd(s.GrantsHeeded && !(s.MostGrant > 0), "grants are heeded and none may be made", "none is named", "MostGrant")
	odd(s.MostGrant < 0 || s.MostGrant > 1, "not a part from 0 to 1", "it is followed as it stands", "MostGrant")
	odd(s.ProgressEvery < 0, positive, "read as no notes", "ProgressEvery")
	odd(s.MaxComeBack < 0, positive, "no time is told", "MaxComeBack")
	odd(s.ProbePrice < 0, positive, "read as free", "ProbePrice")
	odd(s.TellPrice < 0, positive, "read as free", "TellPrice")
	odd(ru.ColdFor > 0 && !(ru.ColdFrom*ru.FallMultiple*ru.FallSpan > 0), "a cold engine bears nothing by these figures",
		"it gets nothing until it is warm", "Rules.ColdFrom")
	odd(ru.ColdFrom > 1, "more than all of the capacity", "it is followed as it stands", "Rules.ColdFrom")
	odd(s.MayProbe && !s.Reports, "probes are allowed and bring no report", "none is sent", "MayProbe")
	odd(s.Zone < 0 || s.Zone > 0 && s.Zone >= len(s.Zones), "not among the zones", "it is only logged", "Zone")
	return l
}

// followed is settings as they are followed: what Problems says is read as nothing is nothing.
func followed(s Settings) Settings {
	for _, v := range []*float64{&s.ProgressEvery, &s.MaxComeBack, &s.ProbePrice, &s.TellPrice} {
		*v = max(*v, 0)
	}
	s.Kinds = append([]Kind(nil), s.Kinds...)
	for i := range s.Kinds {
		s.Kinds[i].MemoryMB = max(s.Kinds[i].MemoryMB, 0)
	}
	return s
}

// within counts what of a list of places is there.
func within(list []int, n int) (is int) {
	for _, x := range list {
		if x >= 0 && x < n {
			is++
		}
	}
	return is
}
