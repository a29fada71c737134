// Package configdiff compares an operator's file with the agreed configuration. It computes the edits that make
// the configuration equal the file, leaves out what only other operators have changed since the file was made,
// finds conflicts with theirs, and plans the changes to propose. It is pure: the caller reads the
// configuration and proposes the changes.
package configdiff
