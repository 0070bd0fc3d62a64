// Package upstream sends requests to backend servers over kept HTTP/1.1
// connections and tells exactly whether a request that got no answer can have
// run. Unlike http.Transport it never sends a request again by itself, and it
// skips late answers to earlier requests.
package upstream
