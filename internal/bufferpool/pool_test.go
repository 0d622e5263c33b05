package bufferpool

import (
	"bytes"
	"testing"
)

func TestPool_BuffersComeBack(t *testing.T) {
	var pool Pool
	var out WriteBuffer
	text := bytes.Repeat([]byte("swift"), Size) // five buffers
	out.Append(&pool, text[:3])
	out.Append(&pool, text[3:])
	if got := bytes.Join(out.Buffers(), nil); !bytes.Equal(got, text) || pool.InUse != 5 {
		t.Fatalf("%d bytes in %d buffers", len(got), pool.InUse)
	}
	out.Release(&pool)
	long := pool.Copy(make([]byte, Size+1))
	pool.Put(long)
	pool.Put(nil)
	if pool.InUse != 0 || len(pool.free) != 5 || len(out.Buffers()) != 0 {
		t.Errorf("%d in use, %d free", pool.InUse, len(pool.free))
	}
	b := pool.Copy([]byte("x"))
	if string(b) != "x" || pool.InUse != 1 || len(pool.free) != 4 {
		t.Errorf("%q, %d in use, %d free", b, pool.InUse, len(pool.free))
	}
}
