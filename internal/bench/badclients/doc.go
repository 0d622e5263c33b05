// Package badclients tests real server processes against clients that send too much, too fast or
// what can't be read, and against clients that leave early: the server must stay within its memory
// limit, must go on serving other clients, and must not run a request twice.
package badclients
