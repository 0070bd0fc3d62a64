// Package registry reads and watches the configuration service in the product's
// own format: service documents, the entry instances of a region, the backend
// servers of a failure domain and the state of each domain. It never writes.
package registry
