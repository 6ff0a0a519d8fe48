//! Flows out of TCP segments: put in order, without what was sent twice, up to the first gap.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use super::pcap::{Close, Segment};
use crate::Micros;

/// Bytes of a flow that may wait for one that is missing before it is held to be lost.
const MOST_WAITING: usize = 256 << 10;

/// What one side sent on a connection.
#[derive(Clone, Debug, PartialEq)]
pub struct Flow {
    pub from: SocketAddr,
    pub to: SocketAddr,
    /// When it began.
    pub start: Micros,
    /// Its begin is not in the file: it was open before.
    pub headless: bool,
    /// Bytes, and when they could be read.
    pub pieces: Vec<(Micros, Vec<u8>)>,
    /// When the other side had sent it how many lines.
    pub answers: Vec<(Micros, usize)>,
    /// How and when this side ended; not at all in what was captured.
    pub end: Option<(Micros, Close)>,
    /// Bytes are missing after so many: what follows is not known to be whole lines, and left out.
    pub gap: Option<usize>,
}

#[derive(Debug)]
struct Building {
    flow: Flow,
    /// The number in its SYN.
    isn: Option<u32>,
    /// Number of the next byte, and how many there were before it.
    next: u32,
    count: usize,
    /// Segments that came before their turn, by their distance from the start.
    early: BTreeMap<usize, (Micros, Vec<u8>)>,
    /// Number of the other side's next byte.
    answer_next: Option<u32>,
    waiting: usize,
    /// Where the side ended, in bytes from its start.
    fin: Option<(usize, Micros)>,
}

impl Building {
    fn new(segment: &Segment) -> Building {
        Building {
            flow: Flow {
                from: segment.from,
                to: segment.to,
                start: segment.at,
                headless: !segment.syn,
                pieces: Vec::new(),
                answers: Vec::new(),
                end: None,
                gap: None,
            },
            isn: segment.syn.then_some(segment.seq),
            next: segment.seq.wrapping_add(u32::from(segment.syn)),
            count: 0,
            early: BTreeMap::new(),
            answer_next: None,
            waiting: 0,
            fin: None,
        }
    }

    fn take(&mut self, segment: &Segment) {
        if self.flow.end.is_some() || self.flow.gap.is_some() {
            return;
        }
        if segment.rst {
            self.flow.end = Some((segment.at, Close::Broken));
            return;
        }
        let seq = segment.seq.wrapping_add(u32::from(segment.syn));
        // Numbers wrap: what lies less than half of them ahead is ahead.
        let ahead = seq.wrapping_sub(self.next) as i32;
        let start = self.count as i64 + i64::from(ahead);
        let end = start + segment.payload.len() as i64;
        if segment.fin && end >= self.count as i64 {
            self.fin.get_or_insert((end as usize, segment.at));
        }
        // What was there before is cut off a retransmission.
        let known = (self.count as i64 - start).clamp(0, segment.payload.len() as i64) as usize;
        let fresh = &segment.payload[known..];
        if !fresh.is_empty() {
            let at = (start + known as i64) as usize;
            let slot = self.early.entry(at).or_insert_with(|| (segment.at, Vec::new()));
            if slot.1.len() < fresh.len() {
                self.waiting += fresh.len() - slot.1.len();
                *slot = (segment.at, fresh.to_vec());
            }
        }
        self.join(segment.at);
        if self.waiting > MOST_WAITING {
            self.flow.gap = Some(self.count);
        }
    }

    /// Takes in what has come to its turn.
    fn join(&mut self, now: Micros) {
        while let Some(entry) = self.early.first_entry().filter(|entry| *entry.key() <= self.count) {
            let (start, (_, bytes)) = entry.remove_entry();
            self.waiting -= bytes.len();
            let fresh = bytes.get(self.count - start..).unwrap_or_default();
            if !fresh.is_empty() {
                self.flow.pieces.push((now, fresh.to_vec()));
                self.count += fresh.len();
                self.next = self.next.wrapping_add(fresh.len() as u32);
            }
        }
        if let Some((_, at)) = self.fin.filter(|&(end, _)| end <= self.count) {
            self.flow.end = Some((at.max(now), Close::InOrder));
        }
    }

    /// The other side sent something: its lines are counted, once each.
    fn answered(&mut self, segment: &Segment) {
        let seq = segment.seq.wrapping_add(u32::from(segment.syn));
        let next = *self.answer_next.get_or_insert(seq);
        let known = next.wrapping_sub(seq) as i32;
        let Some(fresh) = usize::try_from(known.max(0)).ok().and_then(|known| segment.payload.get(known..))
        else {
            return;
        };
        self.answer_next = Some(seq.wrapping_add(segment.payload.len() as u32));
        let lines = fresh.iter().filter(|&&b| b == b'\n').count();
        if lines > 0 {
            let before = self.flow.answers.last().map_or(0, |&(_, lines)| lines);
            self.flow.answers.push((segment.at, before + lines));
        }
    }

    fn done(mut self) -> Flow {
        let missing = !self.early.is_empty() || self.fin.is_some_and(|(end, _)| end > self.count);
        if self.flow.gap.is_none() && missing && self.flow.end.is_none() {
            self.flow.gap = Some(self.count);
        }
        self.flow
    }
}

impl Flow {
    /// How many lines the other side had sent by then.
    pub fn answers_before(&self, at: Micros) -> usize {
        self.answers.iter().take_while(|(then, _)| *then <= at).last().map_or(0, |&(_, lines)| lines)
    }
}

/// What was sent to a port, by connection, in the order in which they began.
pub fn to_port(segments: &[Segment], port: u16) -> Vec<Flow> {
    let (mut open, mut done) = (HashMap::<(SocketAddr, SocketAddr), Building>::new(), Vec::new());
    for segment in segments {
        if let Some(asked) = open.get_mut(&(segment.to, segment.from)) {
            asked.answered(segment);
        }
        if segment.to.port() != port {
            continue;
        }
        let key = (segment.from, segment.to);
        // The same ports again are another connection, unless it is the same SYN sent twice.
        let again = |old: &Building| segment.syn && old.isn != Some(segment.seq);
        if open.get(&key).is_some_and(again) {
            done.extend(open.remove(&key).map(Building::done));
        }
        // Danger: the last acknowledgements of a connection whose begin is not in the file are no flow.
        let bare = segment.payload.is_empty() && !segment.syn;
        if !open.contains_key(&key) && bare {
            continue;
        }
        open.entry(key).or_insert_with(|| Building::new(segment)).take(segment);
    }
    done.extend(open.into_values().map(Building::done));
    done.sort_by_key(|flow| (flow.start, flow.from));
    done
}
