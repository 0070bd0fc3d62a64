// Package registry reads and watches a configuration service in the form that
// the product itself defines: service documents, the entry instances of a
// region, the backend servers of a failure domain and the state of each
// domain. It never writes.
package registry
