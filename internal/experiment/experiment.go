// Package experiment holds the project's measurements of its own policies. Each
// runs the policy and its plain baseline in one run, under virtual time where
// that serves, so that a seed repeats the figures.
package experiment

// Experiment is one measurement.
type Experiment struct {
	// Name is what the command line calls it, such as "m1-straggler".
	Name    string
	Summary string
	Run     func(seed uint64) (Report, error)
}

// Report is the table that an experiment prints.
type Report struct {
	Columns []string
	Rows    [][]string
	// Notes state targets, whether they were met, and what was left out.
	Notes []string
}

// All returns every experiment, in the order of the measurements' numbers.
func All() []Experiment {
	return []Experiment{
		straggler(),
		overload(),
		flood(),
		dispatchers(),
		lostNode(),
		rollingVersions(),
		changes(),
		crashes(),
		stops(),
		control(),
	}
}

// ByName returns the named experiment, and false if there is none.
func ByName(name string) (Experiment, bool) {
	for _, e := range All() {
		if e.Name == name {
			return e, true
		}
	}
	return Experiment{}, false
}
