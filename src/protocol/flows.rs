//! Reassembly of flows from captured TCP segments.
//!
//! A flow holds the bytes that one side of a connection sent, in order and without retransmissions. Segments
//! that arrive out of order are kept until the bytes before them have arrived. A flow stops at its first gap.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use super::pcap::{CloseKind, Segment};
use crate::Time;

/// Maximum number of bytes of a flow that are kept while an earlier byte is missing. Beyond it, the missing
/// byte counts as lost.
const MAX_PENDING_BYTES: usize = 256 << 10;

/// Bytes that one side sent on a connection.
#[derive(Clone, Debug, PartialEq)]
pub struct Flow {
    /// Address of the sender.
    pub from: SocketAddr,
    /// Address of the receiver.
    pub to: SocketAddr,
    /// Capture time of the flow's first segment.
    pub started_at: Time,
    /// The flow's start was not captured, since the connection was open before the capture began.
    pub began_before_capture: bool,
    /// Bytes of the flow in order.
    pub chunks: Vec<FlowChunk>,
    /// Cumulative number of lines from the other side, with an element for each captured segment that adds
    /// lines.
    pub answer_line_counts: Vec<AnswerLineCount>,
    /// End of the flow, or `None` if it was not captured.
    pub end: Option<FlowEnd>,
    /// Number of bytes after which bytes are missing, if any are. The bytes after the gap are left out, since
    /// they may not be whole lines.
    pub gap_after_bytes: Option<usize>,
}

/// Bytes of a flow that became readable at the same time.
#[derive(Clone, Debug, PartialEq)]
pub struct FlowChunk {
    /// Time at which these bytes and all bytes before them had arrived.
    pub readable_at: Time,
    /// The bytes, without those of earlier chunks.
    pub bytes: Vec<u8>,
}

/// Number of lines that the other side of a flow had sent by a certain time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnswerLineCount {
    /// Capture time of the segment with the last of the lines.
    pub at: Time,
    /// Number of lines from the start of the capture up to that time.
    pub lines: usize,
}

/// End of a flow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FlowEnd {
    /// Time at which the flow ended.
    pub ended_at: Time,
    /// Whether the sender closed the connection in order or reset it.
    pub close: CloseKind,
}

impl Flow {
    /// Returns the number of lines that the other side had sent by a time, including lines captured at that
    /// time.
    pub fn answer_lines_until(&self, at: Time) -> usize {
        self.answer_line_counts
            .iter()
            .take_while(|count| count.at <= at)
            .last()
            .map_or(0, |count| count.lines)
    }
}

/// Returns the sequence number of the first byte of a segment's payload. A SYN takes one sequence number.
fn payload_seq(segment: &Segment) -> u32 {
    segment.seq.wrapping_add(u32::from(segment.flags.syn))
}

/// Flow that is being reassembled. Offsets are in bytes from the flow's start.
#[derive(Debug)]
struct FlowAssembler {
    flow: Flow,
    /// Sequence number of the flow's SYN, if it was captured.
    syn_seq: Option<u32>,
    /// Sequence number of the next byte to append to the flow.
    next_seq: u32,
    /// Offset of the next byte to append to the flow.
    next_offset: usize,
    /// Received bytes that have not been appended to the flow, by their offset.
    pending: BTreeMap<usize, FlowChunk>,
    /// Number of bytes in `pending`.
    pending_bytes: usize,
    /// Sequence number of the next byte of the other side, once a segment of it was captured.
    next_answer_seq: Option<u32>,
    fin: Option<Fin>,
}

/// First FIN of a flow.
#[derive(Clone, Copy, Debug)]
struct Fin {
    /// Offset after the flow's last byte.
    offset: usize,
    at: Time,
}

impl FlowAssembler {
    fn new(segment: &Segment) -> FlowAssembler {
        FlowAssembler {
            flow: Flow {
                from: segment.from,
                to: segment.to,
                started_at: segment.captured_at,
                began_before_capture: !segment.flags.syn,
                chunks: Vec::new(),
                answer_line_counts: Vec::new(),
                end: None,
                gap_after_bytes: None,
            },
            syn_seq: segment.flags.syn.then_some(segment.seq),
            next_seq: payload_seq(segment),
            next_offset: 0,
            pending: BTreeMap::new(),
            pending_bytes: 0,
            next_answer_seq: None,
            fin: None,
        }
    }

    fn add_segment(&mut self, segment: &Segment) {
        if self.flow.end.is_some() || self.flow.gap_after_bytes.is_some() {
            return;
        }
        if segment.flags.rst {
            self.flow.end = Some(FlowEnd { ended_at: segment.captured_at, close: CloseKind::Reset });
            return;
        }
        // Sequence numbers wrap around. One that is less than half of their range ahead of `next_seq` counts
        // as ahead, any other as behind.
        let distance = payload_seq(segment).wrapping_sub(self.next_seq) as i32;
        let next_offset = self.next_offset as i64;
        let start = next_offset + i64::from(distance);
        let length = segment.payload.len() as i64;
        let end = start + length;
        if segment.flags.fin && end >= next_offset {
            self.fin.get_or_insert(Fin { offset: end as usize, at: segment.captured_at });
        }
        // A retransmission may start with bytes that are in the flow already.
        let appended_length = (next_offset - start).clamp(0, length) as usize;
        let new_bytes = &segment.payload[appended_length..];
        if !new_bytes.is_empty() {
            self.add_pending((start + appended_length as i64) as usize, segment.captured_at, new_bytes);
        }
        self.append_contiguous(segment.captured_at);
        if self.pending_bytes > MAX_PENDING_BYTES {
            self.flow.gap_after_bytes = Some(self.next_offset);
        }
    }

    /// Keeps bytes until all bytes before them have arrived. Of two segments with the same offset, the longer
    /// is kept.
    fn add_pending(&mut self, offset: usize, readable_at: Time, bytes: &[u8]) {
        let chunk =
            self.pending.entry(offset).or_insert_with(|| FlowChunk { readable_at, bytes: Vec::new() });
        if chunk.bytes.len() < bytes.len() {
            self.pending_bytes += bytes.len() - chunk.bytes.len();
            *chunk = FlowChunk { readable_at, bytes: bytes.to_vec() };
        }
    }

    /// Appends the pending bytes up to the next missing byte, and ends the flow once all bytes before its FIN
    /// are appended.
    fn append_contiguous(&mut self, now: Time) {
        while let Some(entry) = self.pending.first_entry().filter(|entry| *entry.key() <= self.next_offset) {
            let (start, FlowChunk { bytes, .. }) = entry.remove_entry();
            self.pending_bytes -= bytes.len();
            let new_bytes = bytes.get(self.next_offset - start..).unwrap_or_default();
            if !new_bytes.is_empty() {
                self.flow.chunks.push(FlowChunk { readable_at: now, bytes: new_bytes.to_vec() });
                self.next_offset += new_bytes.len();
                self.next_seq = self.next_seq.wrapping_add(new_bytes.len() as u32);
            }
        }
        if let Some(fin) = self.fin.filter(|fin| fin.offset <= self.next_offset) {
            self.flow.end = Some(FlowEnd { ended_at: fin.at.max(now), close: CloseKind::Orderly });
        }
    }

    /// Counts the lines of a segment of the other side. Retransmitted lines are not counted again.
    fn add_answer(&mut self, segment: &Segment) {
        let seq = payload_seq(segment);
        let next_seq = *self.next_answer_seq.get_or_insert(seq);
        let counted_length = (next_seq.wrapping_sub(seq) as i32).max(0) as usize;
        let Some(new_bytes) = segment.payload.get(counted_length..) else { return };
        self.next_answer_seq = Some(seq.wrapping_add(segment.payload.len() as u32));
        let lines = new_bytes.iter().filter(|&&b| b == b'\n').count();
        if lines > 0 {
            let lines_before = self.flow.answer_line_counts.last().map_or(0, |count| count.lines);
            let count = AnswerLineCount { at: segment.captured_at, lines: lines_before + lines };
            self.flow.answer_line_counts.push(count);
        }
    }

    /// Returns whether this segment opens another connection with the same ports. A retransmitted SYN does
    /// not.
    fn is_reopened_by(&self, segment: &Segment) -> bool {
        segment.flags.syn && self.syn_seq != Some(segment.seq)
    }

    fn finish(mut self) -> Flow {
        let is_missing_bytes =
            !self.pending.is_empty() || self.fin.is_some_and(|fin| fin.offset > self.next_offset);
        if self.flow.gap_after_bytes.is_none() && is_missing_bytes && self.flow.end.is_none() {
            self.flow.gap_after_bytes = Some(self.next_offset);
        }
        self.flow
    }
}

/// Reassembles the flows to a port, one for each connection, in the order of their start.
pub fn reassemble_flows(segments: &[Segment], port: u16) -> Vec<Flow> {
    let mut open_flows = HashMap::<(SocketAddr, SocketAddr), FlowAssembler>::new();
    let mut finished_flows = Vec::new();
    for segment in segments {
        if let Some(opposite_flow) = open_flows.get_mut(&(segment.to, segment.from)) {
            opposite_flow.add_answer(segment);
        }
        if segment.to.port() != port {
            continue;
        }
        let key = (segment.from, segment.to);
        if open_flows.get(&key).is_some_and(|assembler| assembler.is_reopened_by(segment)) {
            finished_flows.extend(open_flows.remove(&key).map(FlowAssembler::finish));
        }
        // A segment with neither SYN nor payload starts no flow: it may be one of the last acknowledgements
        // of a connection that began before the capture.
        let is_empty_segment = segment.payload.is_empty() && !segment.flags.syn;
        if !open_flows.contains_key(&key) && is_empty_segment {
            continue;
        }
        open_flows.entry(key).or_insert_with(|| FlowAssembler::new(segment)).add_segment(segment);
    }
    finished_flows.extend(open_flows.into_values().map(FlowAssembler::finish));
    finished_flows.sort_by_key(|flow| (flow.started_at, flow.from));
    finished_flows
}
