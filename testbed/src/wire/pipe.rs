//! One direction of one connection: bytes in, what is to be done out. What comes out hangs on the bytes alone, not on
//! how they were read: a message that a rule may take is held until it is whole, others pass as they come.

use super::frames::{Frames, Protocol};
use super::script::{Fault, Place, Rule};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;

/// What a connection's host has to do next, in this direction.
#[derive(Clone, Debug, PartialEq)]
pub enum Op {
    /// Write these bytes.
    Send(Vec<u8>),
    /// Wait for so many microseconds.
    Wait(u64),
    /// Reset the connection.
    Reset,
    /// End this direction in good order.
    Close,
    /// End both directions in good order.
    CloseBoth,
}

/// Pieces of one message are written so far apart, in microseconds, that the other side reads them apart.
const GAP: u64 = 300;
/// A message longer than this passes untouched: the protocol's values are far smaller.
const MOST_HELD: usize = 4 << 20;
/// A throttled message is written in so many pieces a second.
const PIECES_PER_S: f64 = 50.0;

#[derive(Clone, Copy, PartialEq)]
enum Mode {
    /// Messages pass, or are held for their rules.
    Flow,
    /// The rest of this message passes: it was too long to be held.
    Pass,
    /// Nothing passes any more.
    Over,
}

/// See the module.
pub struct Pipe {
    rules: Vec<Rule>,
    frames: Frames,
    rng: ChaCha8Rng,
    mode: Mode,
    /// The number of the message that is coming.
    message: u64,
    /// What has come of it, if a rule may take it.
    held: Vec<u8>,
    /// What has come since the last write, if none may.
    passing: Vec<u8>,
    /// Messages that are held back to come with others.
    joined: Vec<u8>,
    ops: VecDeque<Op>,
    /// Messages to which something was done.
    hits: u64,
}

impl Pipe {
    /// A pipe with these rules, which are taken in their order.
    pub fn new(protocol: Protocol, rules: Vec<Rule>, seed: u64) -> Self {
        Pipe {
            rules,
            frames: Frames::new(protocol),
            rng: ChaCha8Rng::seed_from_u64(seed),
            mode: Mode::Flow,
            message: 0,
            held: Vec::new(),
            passing: Vec::new(),
            joined: Vec::new(),
            ops: VecDeque::new(),
            hits: 0,
        }
    }

    /// Takes what has come in. [`Pipe::next_op`] tells what is to be done.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.mode == Mode::Over {
            return;
        }
        if self.rules.is_empty() {
            return self.ops.push_back(Op::Send(bytes.to_vec()));
        }
        for &byte in bytes {
            let ends = self.frames.push(byte);
            if self.mode == Mode::Flow && self.may_take() {
                self.held.push(byte);
                if self.held.len() > MOST_HELD {
                    self.passing.append(&mut self.held);
                    self.mode = Mode::Pass;
                }
            } else {
                self.passing.push(byte);
            }
            if ends {
                self.message_ends();
                if self.mode == Mode::Over {
                    return;
                }
            }
        }
        self.flush();
    }

    /// The sender has ended its direction: what was held goes, then the end.
    pub fn end(&mut self) {
        if self.mode == Mode::Over {
            return;
        }
        let rest = [std::mem::take(&mut self.joined), std::mem::take(&mut self.held)].concat();
        self.flush();
        if !rest.is_empty() {
            self.ops.push_back(Op::Send(rest));
        }
        self.ops.push_back(Op::Close);
        self.mode = Mode::Over;
    }

    /// What is to be done next; `None` until more comes.
    pub fn next_op(&mut self) -> Option<Op> {
        self.ops.pop_front()
    }

    /// Whether nothing that comes in from now on passes. The host goes on reading: silence is no full buffer.
    pub fn is_over(&self) -> bool {
        self.mode == Mode::Over
    }

    /// Messages to which something was done.
    pub fn hits(&self) -> u64 {
        self.hits
    }

    fn may_take(&self) -> bool {
        self.rules.iter().any(|r| r.hits(self.message))
    }

    fn flush(&mut self) {
        if !self.passing.is_empty() {
            self.ops.push_back(Op::Send(std::mem::take(&mut self.passing)));
        }
    }

    fn message_ends(&mut self) {
        let message = std::mem::take(&mut self.held);
        let n = self.message;
        self.message += 1;
        if self.mode == Mode::Pass {
            self.mode = Mode::Flow;
        }
        if message.is_empty() {
            return;
        }
        self.flush();
        let holds = |text: &String| message.windows(text.len().max(1)).any(|w| w == text.as_bytes());
        let takes = |r: &Rule| r.hits(n) && r.holding.as_ref().is_none_or(holds);
        let rules: Vec<Rule> = self.rules.iter().filter(|r| takes(r)).cloned().collect();
        self.hits += u64::from(!rules.is_empty());
        let mut ops = vec![Op::Send(message)];
        for rule in &rules {
            ops = self.done(rule, n, ops);
        }
        for op in ops {
            let ends = matches!(op, Op::Reset | Op::Close | Op::CloseBoth);
            self.ops.push_back(op);
            if ends {
                self.mode = Mode::Over;
                return;
            }
        }
    }

    /// What becomes of a message, as far as the rules before have it, by one rule more.
    fn done(&mut self, rule: &Rule, n: u64, mut ops: Vec<Op>) -> Vec<Op> {
        let pieces = |ops: Vec<Op>, size: usize, gap: u64| -> Vec<Op> {
            ops.into_iter()
                .flat_map(|op| match op {
                    Op::Send(bytes) => bytes
                        .chunks(size.max(1))
                        .flat_map(|piece| [Op::Send(piece.to_vec()), Op::Wait(gap)])
                        .collect(),
                    other => vec![other],
                })
                .collect()
        };
        match rule.fault {
            Fault::Split => pieces(ops, rule.size, GAP),
            Fault::Throttle => {
                let size = (rule.bytes_per_s / PIECES_PER_S).max(1.0);
                pieces(ops, size as usize, (size / rule.bytes_per_s * 1e6) as u64)
            }
            Fault::Delay => {
                ops.insert(0, Op::Wait((rule.ms * 1e3) as u64));
                ops
            }
            Fault::Join => {
                let held = std::mem::take(&mut self.joined);
                self.joined = [held, sent(&ops)].concat();
                if n + 1 < rule.message + rule.messages {
                    return Vec::new();
                }
                vec![Op::Send(std::mem::take(&mut self.joined))]
            }
            Fault::Reset => cut(ops, rule.byte, Some(Op::Reset)),
            Fault::HalfClose => cut(ops, rule.byte, Some(Op::Close)),
            Fault::Truncate => cut(ops, rule.byte, Some(Op::CloseBoth)),
            Fault::Silence => {
                self.mode = Mode::Over;
                cut(ops, rule.byte, None)
            }
            Fault::Noise => {
                let mut noise = vec![0; rule.bytes];
                self.rng.fill_bytes(&mut noise);
                let message = sent(&ops);
                let at = match rule.place {
                    Place::Before => 0,
                    Place::Within => rule.byte.min(message.len()),
                    Place::Behind => message.len(),
                };
                vec![Op::Send([&message[..at], &noise, &message[at..]].concat())]
            }
            Fault::Lie => vec![Op::Send(with_lie(sent(&ops), rule.by))],
            Fault::Twice => {
                let message = sent(&ops);
                vec![Op::Send(message.clone()), Op::Send(message)]
            }
        }
    }
}

/// All that is written by these.
fn sent(ops: &[Op]) -> Vec<u8> {
    let bytes = |op: &Op| match op {
        Op::Send(bytes) => bytes.clone(),
        _ => Vec::new(),
    };
    ops.iter().flat_map(bytes).collect()
}

/// The same up to a byte, and then an end.
fn cut(ops: Vec<Op>, mut byte: usize, end: Option<Op>) -> Vec<Op> {
    let mut kept = Vec::new();
    for op in ops {
        match op {
            Op::Send(mut bytes) => {
                bytes.truncate(byte);
                byte -= bytes.len();
                if !bytes.is_empty() {
                    kept.push(Op::Send(bytes));
                }
            }
            other => kept.push(other),
        }
        if byte == 0 {
            break;
        }
    }
    kept.extend(end);
    kept
}

/// The message with its first length off by so much: of a RESP2 string or array, or of an HTTP body. Not below 0.
fn with_lie(message: Vec<u8>, by: i64) -> Vec<u8> {
    let lower = message.to_ascii_lowercase();
    let header = b"content-length:";
    let http = lower.windows(header.len()).position(|w| w == header).map(|at| at + header.len());
    let resp = || {
        let marks = |i: &usize| message[*i] == b'$' && message.get(i + 1).is_some_and(u8::is_ascii_digit);
        (0..message.len()).find(marks).map(|i| i + 1)
    };
    let Some(mut from) = http.or_else(resp) else { return message };
    while message.get(from) == Some(&b' ') {
        from += 1;
    }
    let digits = message[from..].iter().take_while(|b| b.is_ascii_digit()).count();
    let told = std::str::from_utf8(&message[from..from + digits]).ok().and_then(|d| d.parse::<i64>().ok());
    let Some(told) = told else { return message };
    let lie = told.saturating_add(by).max(0).to_string();
    [&message[..from], lie.as_bytes(), &message[from + digits..]].concat()
}
