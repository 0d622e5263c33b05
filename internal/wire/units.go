package wire

// MillisecondsPerSecond converts between the milliseconds of the protocols and the seconds of the
// Go types.
const MillisecondsPerSecond = 1000
