// Package standin implements simulated versions of the systems around a gateway,
// for tests and the demo: the platform's configuration service, model engines and
// plain services, all with injectable faults.
package standin
