//! Simulated operators, which change and read the document.

use std::time::{Duration, Instant};

use catalogue::{Course, Document, Number};
use names::{Instance, Request};

use super::{NODES, Simulation, instance};

/// Number of routes in the document, which has about 245 KB of text.
const ROUTE_COUNT: usize = 1_300;

/// Transmission time of the document text from an operator to an instance.
const UPLOAD_TIME: Duration = Duration::from_millis(700);

/// Timeout of an operator for an acknowledgement.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_millis(1_700);

/// Delay before an operator tries another instance.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Time between two reads of the document by operators.
const READ_PERIOD: Duration = Duration::from_millis(400);

/// The operator that changes the document and waits for each acknowledgement.
pub struct Operator {
    /// Number of the newest document.
    pub number: u64,
    /// Time at which the operator started the change.
    pub started_at: Instant,
    /// Number of attempts so far, over all changes.
    pub attempts: usize,
    /// Time of the next attempt.
    pub retry_at: Instant,
    /// Instance that receives the document, with the arrival time.
    pub upload: Option<(usize, Instant)>,
    /// Whether a change is not acknowledged yet.
    pub is_changing: bool,
    /// Longest time until a change was acknowledged.
    pub longest_change: Duration,
}

impl Operator {
    pub fn new(now: Instant) -> Self {
        Self {
            number: 0,
            started_at: now,
            attempts: 0,
            retry_at: now,
            upload: None,
            is_changing: false,
            longest_change: Duration::ZERO,
        }
    }
}

impl Simulation {
    /// Starts the periodic reads of the document.
    pub fn start_reads(&mut self) {
        self.next_read = Some(self.now);
    }

    /// Makes one change and waits for its acknowledgement.
    pub fn change(&mut self) {
        self.begin_change();
        let is_acknowledged =
            self.run_until(Duration::from_secs(20), |simulation| !simulation.operator.is_changing);
        assert!(
            is_acknowledged,
            "seed {}: change {} is not acknowledged",
            self.seed, self.operator.number
        );
    }

    /// Makes consecutive changes for `duration`.
    pub fn change_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            if !self.operator.is_changing {
                self.begin_change();
            }
            self.step();
        }
    }

    fn begin_change(&mut self) {
        let operator = &mut self.operator;
        operator.number += 1;
        operator.started_at = self.now;
        operator.retry_at = self.now;
        operator.upload = None;
        operator.is_changing = true;
    }

    pub(super) fn end_change(&mut self, number: Number) {
        let operator = &mut self.operator;
        if operator.is_changing && number.0 >= operator.number {
            operator.is_changing = false;
            operator.longest_change = operator.longest_change.max(self.now - operator.started_at);
        }
    }

    /// Sends the change to another instance if the previous instance did not acknowledge the
    /// change in time.
    pub(super) fn retry_change(&mut self) {
        let (now, operator) = (self.now, &mut self.operator);
        if !operator.is_changing {
            return;
        }
        if now >= operator.retry_at {
            operator.retry_at = now + ACKNOWLEDGEMENT_TIMEOUT + RETRY_DELAY;
            operator.attempts += 1;
            operator.upload = Some(((operator.attempts * 2) % NODES, now + UPLOAD_TIME));
        }
        if let Some((index, _)) = operator.upload.take_if(|(_, arrives_at)| *arrives_at <= now) {
            self.propose_change(index);
        }
    }

    /// Proposes each mismatched change again as soon as its instance has the document that was the
    /// newest one when the mismatch was reported.
    pub(super) fn retry_mismatched(&mut self) {
        let nodes = &self.nodes;
        let is_due = |(index, newest): &mut (usize, Number)| {
            nodes[*index].newest.document().number >= *newest
        };
        let due: Vec<(usize, Number)> = self.mismatched.extract_if(.., is_due).collect();
        due.into_iter().for_each(|(index, _)| self.propose_change(index));
    }

    fn propose_change(&mut self, index: usize) {
        let number = Number(self.operator.number);
        let newest = &self.nodes[index].newest;
        if number <= newest.document().number {
            self.end_change(number);
            return;
        }
        let command = newest.offer(number, &text(number.0));
        self.propose(index, &command);
    }

    /// If a read is due, reads the document from an instance and follows redirections.
    pub(super) fn read_document(&mut self) {
        let Some(read_at) = self.next_read.filter(|read_at| *read_at <= self.now) else {
            return;
        };
        self.next_read = Some(read_at + READ_PERIOD);
        let mut index = usize::try_from(self.sequence).unwrap() % NODES;
        self.sequence += 1;
        let bytes = text(0).len();
        for hops in 0..3 {
            let others: Vec<Instance> =
                (1..NODES).map(|step| instance((index + step) % NODES)).collect();
            let times = (self.now, self.now);
            match self.nodes[index].lane.decide(times, bytes, hops, &others) {
                Course::Here => {
                    self.nodes[index].lane.push(Request(self.sequence), bytes);
                    return;
                }
                Course::Elsewhere(target) => {
                    index = (0..NODES).find(|index| instance(*index) == target).unwrap();
                }
                Course::Later(_) => return,
            }
        }
    }
}

/// Returns the text of a document; each number changes the timeout of another route.
pub fn text(number: u64) -> Vec<u8> {
    let mut text = format!("{{\"version\":{number},\"routes\":[");
    for route in 0..ROUTE_COUNT as u64 {
        // The names have no regular pattern, like names that operators choose.
        let name = route.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ 0x5DEE_CE66;
        let timeout = 1_500 + number.saturating_sub(route % 100) / 100;
        text.push_str(&format!(
            "{{\"name\":\"r-{name:016x}\",\"host\":\"h{}.example\",\"path-prefix\":\"/{:x}/\",\
             \"kind\":\"safe\",\"timeout-ms\":{timeout},\"objective-ms\":300,\"priority\":1,\
             \"service\":\"shop\",\"attempts\":2,\"anonymous-access\":false}},",
            name % 97,
            name.rotate_left(23)
        ));
    }
    text.push_str("]}");
    text.into_bytes()
}

/// Returns the compressed size of the document in bytes.
pub fn compressed_bytes() -> usize {
    Document::pack(Number(1), &text(1)).size()
}
