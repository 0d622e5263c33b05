package bufferpool

import (
	"bytes"
	"testing"
)

func TestPool_ReusesReturnedBuffers(t *testing.T) {
	var pool Pool
	var out WriteBuffer
	text := bytes.Repeat([]byte("swift"), Size) // fills five buffers
	out.Append(&pool, text[:3])
	out.Append(&pool, text[3:])
	if got := bytes.Join(out.Buffers(), nil); !bytes.Equal(got, text) || pool.InUse != 5 {
		t.Fatalf("%d bytes in %d buffers, want the %d bytes of the text in 5", len(got), pool.InUse, len(text))
	}
	out.Release(&pool)
	pool.Put(make([]byte, Size+1))
	pool.Put(nil)
	if pool.InUse != 0 || len(pool.free) != 5 || len(out.Buffers()) != 0 {
		t.Errorf("after the release %d buffers in use, %d free, %d in the WriteBuffer; want 0, 5, 0",
			pool.InUse, len(pool.free), len(out.Buffers()))
	}
	b := pool.Get()
	if len(b) != 0 || pool.InUse != 1 || len(pool.free) != 4 {
		t.Errorf("buffer %q, %d buffers in use, %d free; want an empty one, 1, 4", b, pool.InUse, len(pool.free))
	}
}
