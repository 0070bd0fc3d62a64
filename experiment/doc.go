// Package experiment simulates a workload of prompts against modelled engines in
// virtual time, with the scheduling code that entries run, and reports which
// requests met their objectives, waited or were refused, and the load of the engines.
package experiment
