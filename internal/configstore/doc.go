// Package configstore stores the accepted configurations in the platform's store.
// One key has the current configuration; the store's version of that key is the
// configuration's version. A bounded number of replaced configurations is stored
// under further keys, the history.
package configstore
