// Package configdiff compares an operator's file with the committed configuration. It computes the edits that make the
// configuration equal to the file, omits edits that would undo changes of other operators made after the file's base
// version, detects conflicts with such changes, and plans the changes to propose. The package performs no I/O: its
// caller reads the configuration and proposes the changes.
package configdiff
