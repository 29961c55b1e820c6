package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Layout and flags of a packet.
const (
	headSize = 32
	flagSYN  = 128
	flagACK  = 8
	flagFIN  = 4
	flagRST  = 1
	// flagBounced marks a packet that a target returned.
	flagBounced = 2
)

// sumKey is the key of the sum, which only requesters and targets know.
const sumKey = 0x5ca1ab1e

// end is one end of a flow.
type end struct {
	ip   [4]byte
	port uint16
}

func (e end) addr() netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4(e.ip), e.port) }

// packet is a decoded packet.
type packet struct {
	src, dst end
	flags    byte
	seq, ack uint32
	data     []byte
}

// sumOf returns the sum over all fields except sum, echo, pad and the bounced flag.
func sumOf(b []byte) uint32 {
	var head [headSize]byte
	copy(head[:], b[:headSize])
	clear(head[0:4])
	clear(head[26:30])
	head[30] &^= flagBounced
	head[31] = 0
	sum := crc32.Update(sumKey, crc32.IEEETable, head[:])
	sum = crc32.Update(sum, crc32.IEEETable, b[headSize:])
	if sum == 0 {
		sum = 1
	}
	return sum
}

func (p packet) encode() []byte {
	b := make([]byte, headSize+len(p.data))
	binary.BigEndian.PutUint16(b[4:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(b[6:], p.seq)
	binary.BigEndian.PutUint32(b[10:], p.ack)
	binary.BigEndian.PutUint16(b[14:], p.src.port)
	binary.BigEndian.PutUint16(b[16:], p.dst.port)
	copy(b[18:], p.src.ip[:])
	copy(b[22:], p.dst.ip[:])
	b[30] = p.flags
	copy(b[headSize:], p.data)
	binary.BigEndian.PutUint32(b, sumOf(b))
	return b
}

// decode returns a packet and its sum; ok is false if the bytes are no packet.
func decode(b []byte) (p packet, sum uint32, ok bool) {
	if len(b) < headSize || len(b) != headSize+int(binary.BigEndian.Uint16(b[4:])) {
		return packet{}, 0, false
	}
	p = packet{
		src:   end{[4]byte(b[18:22]), binary.BigEndian.Uint16(b[14:])},
		dst:   end{[4]byte(b[22:26]), binary.BigEndian.Uint16(b[16:])},
		flags: b[30], seq: binary.BigEndian.Uint32(b[6:]), ack: binary.BigEndian.Uint32(b[10:]),
		data: append([]byte(nil), b[headSize:]...),
	}
	return p, binary.BigEndian.Uint32(b), true
}
