// Package experiment contains experiments that measure the policies of the project.
// Each one compares a policy with a simple baseline in the same run. The experiments
// run in virtual time, so a seed reproduces the results; only the CPU time and heap
// figures of M9 vary between runs.
package experiment

// Experiment is a named measurement that prints a table.
type Experiment struct {
	// Name identifies the experiment on the command line, such as "m1-straggler".
	Name    string
	Summary string
	// Run runs the experiment with a seed.
	Run func(seed uint64) (Report, error)
}

// Report is the result of an experiment: a table and notes.
type Report struct {
	Columns []string
	Rows    [][]string
	// Notes state the targets, the parameters and what the figures leave out.
	Notes []string
}

// All returns all experiments in the order of their numbers.
func All() []Experiment {
	return []Experiment{
		stragglerExperiment(),
		overloadExperiment(),
		floodExperiment(),
		dispatchersExperiment(),
		lostNodeExperiment(),
		rollingVersionsExperiment(),
		changesExperiment(),
		crashesExperiment(),
		stopsExperiment(),
		controlExperiment(),
	}
}

// ByName returns the experiment with a name, and false if there is none.
func ByName(name string) (Experiment, bool) {
	for _, e := range All() {
		if e.Name == name {
			return e, true
		}
	}
	return Experiment{}, false
}
