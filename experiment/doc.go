// Package experiment plays a load of prompts against modelled engines in virtual
// time, with the decision code that entries run, and reports who was served,
// who waited, who was refused and where the work went.
package experiment
