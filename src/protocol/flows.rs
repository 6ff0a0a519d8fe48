//! Reassembly of flows from TCP segments: bytes in order, without retransmissions, up to the first gap.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use super::pcap::{Close, Segment};
use crate::Time;

/// The most bytes of a flow that wait for a missing one before it is taken to be lost.
const MAX_WAITING_BYTES: usize = 256 << 10;

/// What one side sent on a connection.
#[derive(Clone, Debug, PartialEq)]
pub struct Flow {
    /// The sending side.
    pub from: SocketAddr,
    /// The receiving side.
    pub to: SocketAddr,
    /// When it began.
    pub start: Time,
    /// Its start was not captured: the connection was open before.
    pub began_before_capture: bool,
    /// Its bytes, by when they could be read.
    pub chunks: Vec<FlowChunk>,
    /// How many lines the other side had sent, by when they were captured.
    pub answers: Vec<AnswerCount>,
    /// How this side ended; none if its end was not captured.
    pub end: Option<FlowEnd>,
    /// Bytes are missing after this many. What follows them is left out, since it may not be whole lines.
    pub gap: Option<usize>,
}

/// Bytes of a flow that could be read at one time.
#[derive(Clone, Debug, PartialEq)]
pub struct FlowChunk {
    /// When they could be read.
    pub at: Time,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// The number of lines that the other side of a flow had sent by a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnswerCount {
    /// The time.
    pub at: Time,
    /// The lines from the start up to that time.
    pub lines: usize,
}

/// The end of a flow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FlowEnd {
    /// When it ended.
    pub at: Time,
    /// How it ended.
    pub close: Close,
}

impl Flow {
    /// How many lines the other side had sent by then.
    pub fn answers_before(&self, at: Time) -> usize {
        self.answers.iter().take_while(|count| count.at <= at).last().map_or(0, |count| count.lines)
    }
}

/// The sequence number of the first byte of a segment's payload.
fn payload_seq(segment: &Segment) -> u32 {
    segment.seq.wrapping_add(u32::from(segment.flags.syn))
}

/// A flow that is being reassembled. Offsets are in bytes from the flow's start.
#[derive(Debug)]
struct FlowAssembler {
    flow: Flow,
    /// Sequence number of its SYN.
    syn_seq: Option<u32>,
    /// Sequence number of the next byte.
    next_seq: u32,
    /// Offset of the next byte.
    next_offset: usize,
    /// Segments that arrived before their turn, by their offset.
    early: BTreeMap<usize, FlowChunk>,
    /// Number of bytes in them.
    early_bytes: usize,
    /// Sequence number of the other side's next byte.
    next_answer_seq: Option<u32>,
    fin: Option<Fin>,
}

#[derive(Clone, Copy, Debug)]
struct Fin {
    /// Offset after the last byte.
    offset: usize,
    at: Time,
}

impl FlowAssembler {
    fn new(segment: &Segment) -> FlowAssembler {
        FlowAssembler {
            flow: Flow {
                from: segment.from,
                to: segment.to,
                start: segment.at,
                began_before_capture: !segment.flags.syn,
                chunks: Vec::new(),
                answers: Vec::new(),
                end: None,
                gap: None,
            },
            syn_seq: segment.flags.syn.then_some(segment.seq),
            next_seq: payload_seq(segment),
            next_offset: 0,
            early: BTreeMap::new(),
            early_bytes: 0,
            next_answer_seq: None,
            fin: None,
        }
    }

    fn add_segment(&mut self, segment: &Segment) {
        if self.flow.end.is_some() || self.flow.gap.is_some() {
            return;
        }
        if segment.flags.rst {
            self.flow.end = Some(FlowEnd { at: segment.at, close: Close::Reset });
            return;
        }
        // Sequence numbers wrap: one that is less than half of them ahead is ahead.
        let distance = payload_seq(segment).wrapping_sub(self.next_seq) as i32;
        let next_offset = self.next_offset as i64;
        let start = next_offset + i64::from(distance);
        let length = segment.payload.len() as i64;
        let end = start + length;
        if segment.flags.fin && end >= next_offset {
            self.fin.get_or_insert(Fin { offset: end as usize, at: segment.at });
        }
        // The start of a retransmission may be known already.
        let known = (next_offset - start).clamp(0, length) as usize;
        let unknown = &segment.payload[known..];
        if !unknown.is_empty() {
            self.add_early((start + known as i64) as usize, segment.at, unknown);
        }
        self.append_early(segment.at);
        if self.early_bytes > MAX_WAITING_BYTES {
            self.flow.gap = Some(self.next_offset);
        }
    }

    /// Keeps bytes until those before them have arrived; of two segments at one offset, the longer.
    fn add_early(&mut self, offset: usize, at: Time, bytes: &[u8]) {
        let chunk = self.early.entry(offset).or_insert_with(|| FlowChunk { at, bytes: Vec::new() });
        if chunk.bytes.len() < bytes.len() {
            self.early_bytes += bytes.len() - chunk.bytes.len();
            *chunk = FlowChunk { at, bytes: bytes.to_vec() };
        }
    }

    /// Appends the bytes whose turn has come.
    fn append_early(&mut self, now: Time) {
        while let Some(entry) = self.early.first_entry().filter(|entry| *entry.key() <= self.next_offset) {
            let (start, FlowChunk { bytes, .. }) = entry.remove_entry();
            self.early_bytes -= bytes.len();
            let unknown = bytes.get(self.next_offset - start..).unwrap_or_default();
            if !unknown.is_empty() {
                self.flow.chunks.push(FlowChunk { at: now, bytes: unknown.to_vec() });
                self.next_offset += unknown.len();
                self.next_seq = self.next_seq.wrapping_add(unknown.len() as u32);
            }
        }
        if let Some(fin) = self.fin.filter(|fin| fin.offset <= self.next_offset) {
            self.flow.end = Some(FlowEnd { at: fin.at.max(now), close: Close::Orderly });
        }
    }

    /// Counts the lines of a segment of the other side, once each.
    fn add_answer(&mut self, segment: &Segment) {
        let seq = payload_seq(segment);
        let next_seq = *self.next_answer_seq.get_or_insert(seq);
        let known = (next_seq.wrapping_sub(seq) as i32).max(0) as usize;
        let Some(unknown) = segment.payload.get(known..) else { return };
        self.next_answer_seq = Some(seq.wrapping_add(segment.payload.len() as u32));
        let lines = unknown.iter().filter(|&&b| b == b'\n').count();
        if lines > 0 {
            let lines_before = self.flow.answers.last().map_or(0, |count| count.lines);
            self.flow.answers.push(AnswerCount { at: segment.at, lines: lines_before + lines });
        }
    }

    /// Whether this segment opens another connection with the same ports. The same SYN sent twice does not.
    fn is_reopened_by(&self, segment: &Segment) -> bool {
        segment.flags.syn && self.syn_seq != Some(segment.seq)
    }

    fn finish(mut self) -> Flow {
        let is_missing_bytes =
            !self.early.is_empty() || self.fin.is_some_and(|fin| fin.offset > self.next_offset);
        if self.flow.gap.is_none() && is_missing_bytes && self.flow.end.is_none() {
            self.flow.gap = Some(self.next_offset);
        }
        self.flow
    }
}

/// Reassembles the flows to a port, one for each connection, in the order in which they began.
pub fn reassemble_flows(segments: &[Segment], port: u16) -> Vec<Flow> {
    let mut open = HashMap::<(SocketAddr, SocketAddr), FlowAssembler>::new();
    let mut finished = Vec::new();
    for segment in segments {
        if let Some(answered) = open.get_mut(&(segment.to, segment.from)) {
            answered.add_answer(segment);
        }
        if segment.to.port() != port {
            continue;
        }
        let key = (segment.from, segment.to);
        if open.get(&key).is_some_and(|assembler| assembler.is_reopened_by(segment)) {
            finished.extend(open.remove(&key).map(FlowAssembler::finish));
        }
        // The last acknowledgements of a connection that began before the capture are not a flow.
        let is_bare = segment.payload.is_empty() && !segment.flags.syn;
        if !open.contains_key(&key) && is_bare {
            continue;
        }
        open.entry(key).or_insert_with(|| FlowAssembler::new(segment)).add_segment(segment);
    }
    finished.extend(open.into_values().map(FlowAssembler::finish));
    finished.sort_by_key(|flow| (flow.start, flow.from));
    finished
}
