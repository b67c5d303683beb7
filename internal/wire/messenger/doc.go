// Package messenger holds the messages between processes, generated from the
// schemas in the folder schema. A message is plain data; what it may hold is
// checked by those who decode it.
package messenger
